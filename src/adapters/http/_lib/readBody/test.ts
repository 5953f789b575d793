import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import test from 'ava';
import { readBody } from '.';

const MAX_BYTES = 100_000;

/** 65,536, and one for each 512 bytes of the largest body. */
const MAX_PARTS = 65_732;

const buildIncoming = (parts: number): IncomingMessage => {
  const part = Buffer.from('x');
  const stream = Readable.from(Array.from({ length: parts }, () => part));
  return Object.assign(stream, { headers: {} }) as unknown as IncomingMessage;
};

test('a body that comes byte by byte is read whole', async (t) => {
  const body = await readBody(buildIncoming(MAX_PARTS), MAX_BYTES);
  t.is(body._unsafeUnwrap().length, MAX_PARTS);
});

// Guards against bodies in very many small parts, which keep the process from other callers.
test('a body in more parts than a body may have is not read on', async (t) => {
  const body = await readBody(buildIncoming(MAX_PARTS + 1), MAX_BYTES);
  t.is(body._unsafeUnwrapErr().kind, 'body-too-fragmented');
});
