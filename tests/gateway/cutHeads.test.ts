// Guards against answers whose head was cut off and that reach a caller as a whole one, empty or short.
import { once } from 'node:events';
import { connect } from 'node:net';
import test from 'ava';
import { HEADERS, PATHS } from '../../platform';
import { createSteadyClock } from '../../standins/fakes';
import { startTestCallerServer } from '../_lib/startTestCallerServer';
import { READERS, sendAttempt, SINGLE_USE } from './_lib/answerReaders';
import { buildTestAttempt } from './_lib/buildTestAttempt';
import { formatRawAnswer } from './_lib/formatRawAnswer';
import { sendOnKeptConnection } from './_lib/sendOnKeptConnection';
import { startRawServer, type RawRequest } from './_lib/startRawServer';
import { startTestGateway } from './_lib/startTestGateway';
import { startTestRelay } from './_lib/startTestRelay';

const FRAMINGS = ['content-length: 4', 'transfer-encoding: chunked', 'connection: close'];

const ENDS = ['orderly', 'reset'] as const;

const HINTS = 'HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n';

/** Cuts a head at places that parsers may tell apart. */
const cutHead = (head: string): readonly string[] => [
  head.slice(0, 4),
  'HTTP/1.1 ',
  'HTTP/1.1 200',
  'HTTP/1.1 200 OK\r\n',
  head.slice(0, head.indexOf(':')),
  head.slice(0, head.indexOf(':') + 1),
  head.slice(0, -4),
  head.slice(0, -3),
  head.slice(0, -2),
  head.slice(0, -1),
  HINTS,
  `${HINTS}${head.slice(0, -2)}`,
];

interface Cut {
  readonly framing: string;
  readonly at: number;
  readonly end: (typeof ENDS)[number];
}

const CUTS: readonly Cut[] = FRAMINGS.flatMap((framing) =>
  ENDS.flatMap((end) => cutHead('HTTP/1.1 200 OK\r\n\r\n').map((_, at) => ({ framing, at, end }))),
);

/** Sends the cut head of an answer, and ends its connection. */
const sendCut = ({ headers, socket }: RawRequest, { at, end, framing }: Cut): void => {
  const id = String(headers[HEADERS.requestId] ?? '');
  const head =
    `HTTP/1.1 200 OK\r\n${framing}\r\n${HEADERS.serverId}: i-1\r\n` +
    `${HEADERS.requestId}: ${id}\r\n${HEADERS.signature}: s\r\n\r\n`;
  socket.write(cutHead(head)[at] ?? '');
  if (end === 'reset') socket.resetAndDestroy();
  else socket.end();
};

const BODIES: Readonly<Record<string, string>> = {
  [PATHS.report]: JSON.stringify({ queued: 0, active: 0 }),
  [PATHS.copyRun]: JSON.stringify({ handle: 'h' }),
};

const sendWhole = ({ headers, socket, target }: RawRequest): void => {
  const requestId = String(headers[HEADERS.requestId] ?? '');
  const signed = { [HEADERS.requestId]: requestId, [HEADERS.signature]: 's' };
  const named = { ...signed, [HEADERS.serverId]: 'i-1' };
  socket.write(formatRawAnswer(200, named, BODIES[target] ?? 'whole'));
};

/** Plays a cut at one reader; returns what is wrong. */
const playCut = async (name: string, cut: Cut, isKept: boolean): Promise<string | null> => {
  const server = await startRawServer('i-1', (request) => {
    if (isKept && request.earlier === 0) sendWhole(request);
    else sendCut(request, cut);
  });
  const cleanups: (() => Promise<unknown>)[] = [server.stop];
  const place = {
    server,
    clock: createSteadyClock(),
    addCleanup: (stop: () => Promise<unknown>) => cleanups.unshift(stop),
  };
  const read = READERS[name]?.(place);
  if (!read) throw new Error(`no reader ${name}`);
  const wasBelieved = isKept ? await sendOnKeptConnection(server, read) : await read();
  for (const stop of cleanups) await stop();
  return wasBelieved ? `${name} ${JSON.stringify(cut)} ${isKept ? 'kept' : 'new'}` : null;
};

test('nothing is believed of an answer whose head is cut off', async (t) => {
  t.timeout(120_000);
  for (const name of Object.keys(READERS)) {
    const kept = SINGLE_USE.has(name) ? [false] : [false, true];
    const plays = kept.flatMap((isKept) => CUTS.map((cut) => playCut(name, cut, isKept)));
    t.deepEqual(
      (await Promise.all(plays)).filter((problem) => problem !== null),
      [],
    );
  }
});

test('nothing is believed of a cut head behind a relay', async (t) => {
  for (const cut of CUTS) {
    const server = await startRawServer('i-1', (request) => sendCut(request, cut));
    const relay = await startTestRelay([server]);
    const attempt = buildTestAttempt('127.0.0.1:1', 'i-1');
    t.false(await sendAttempt(relay.client, { ...attempt, newConnection: true }));
    t.false(await sendAttempt(relay.client, { ...attempt, newConnection: false }));
    t.is(await relay.client.readReport(attempt.server), null);
    t.true(
      (await relay.client.copyRun(attempt.server, 'r', attempt.server, { stops: true })).isErr(),
    );
    await relay.stop();
    await server.stop();
  }
});

/** Opens a connection, sends bytes, ends it, and reads what comes back. */
const exchange = async (url: string, bytes: string): Promise<string> => {
  const { hostname, port } = new URL(url);
  const socket = connect({ host: hostname, port: Number(port) });
  let received = '';
  socket.setEncoding('utf8').on('data', (text: string) => {
    received += text;
  });
  socket.on('error', () => undefined);
  socket.end(bytes);
  await once(socket, 'close');
  return received;
};

const formatCallerHead = (target: string): string =>
  `POST ${target} HTTP/1.1\r\nhost: a.example\r\n${HEADERS.requestId}: r-1\r\n` +
  `${HEADERS.deadlineMs}: 1000\r\ncontent-length: 0\r\n\r\n`;

test('a caller whose head is cut off reaches no server and gets no success', async (t) => {
  const { gateway, servers, stop } = await startTestGateway();
  const entry = await startTestCallerServer();
  for (const target of ['/safe/x', '/stream/x', '/v1/chat/completions']) {
    const head = formatCallerHead(target);
    for (const url of [gateway.callerUrl, entry.url])
      for (const end of [4, head.indexOf('\r\n'), head.indexOf(':') + 1, head.length - 2])
        t.notRegex(await exchange(url, head.slice(0, end)), /^HTTP\/1\.1 2/);
  }
  t.is(
    servers.reduce((sum, server) => sum + server.countRequests(), 0),
    0,
  );
  await Promise.all([stop(), entry.stop()]);
});
