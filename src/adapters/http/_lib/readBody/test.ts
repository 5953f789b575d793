import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import test from 'ava';
import { computeMaxPieces } from '../computeMaxPieces';
import { readBody } from '.';

const MAX_BYTES = 100_000;

const MAX_PIECES = computeMaxPieces(MAX_BYTES);

const buildIncoming = (pieces: number): IncomingMessage => {
  const piece = Buffer.from('x');
  const stream = Readable.from(Array.from({ length: pieces }, () => piece));
  return Object.assign(stream, { headers: {} }) as unknown as IncomingMessage;
};

test('a body that comes byte by byte is read whole', async (t) => {
  const body = await readBody(buildIncoming(MAX_PIECES), MAX_BYTES);
  t.is(body._unsafeUnwrap().length, MAX_PIECES);
});

// Guards against bodies in very many small parts, which keep the process from other callers.
test('a body in more parts than a body may have is not read on', async (t) => {
  const body = await readBody(buildIncoming(MAX_PIECES + 1), MAX_BYTES);
  t.is(body._unsafeUnwrapErr().kind, 'body-too-fragmented');
});
