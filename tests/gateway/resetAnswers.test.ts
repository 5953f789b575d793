// Guards against answers without a length that are reset on the way and taken for whole: where the
// reset came with the last bytes, Node.js reports an end in its place.
import test, { type ExecutionContext } from 'ava';
import { createServerClient, HEADERS } from '../../platform';
import { createFakeClock } from '../../standins/fakes';
import { formatStandInEvent } from '../../standins/gateway';
import { readOk } from '../_lib/readOk';
import { READERS } from './_lib/answerReaders';
import { buildStreamRequest } from './_lib/buildStreamRequest';
import { buildTestAttempt } from './_lib/buildTestAttempt';
import { formatEvents } from './_lib/formatEvents';
import { readAll } from './_lib/readAll';
import { startRawServer, type RawRequest, type RawServer } from './_lib/startRawServer';
import { startTestGateway, type TestGateway } from './_lib/startTestGateway';
import { startTestRelay } from './_lib/startTestRelay';

const END = { reset: 'reset', orderly: 'orderly' } as const;

/** Sends an answer without a length, whose connection ends in the same moment. */
const sendUnframed = (
  { headers, socket }: RawRequest,
  body: string,
  end: keyof typeof END,
): void => {
  socket.write(
    `HTTP/1.1 200 OK\r\nconnection: close\r\n${HEADERS.requestId}: ` +
      `${String(headers[HEADERS.requestId] ?? '')}\r\n${HEADERS.signature}: s\r\n\r\n${body}`,
  );
  if (end === END.reset) socket.resetAndDestroy();
  else socket.end();
};

const startServer = async (
  t: ExecutionContext,
  handle: (request: RawRequest) => void,
): Promise<RawServer> => {
  const server = await startRawServer('i-1', handle);
  t.teardown(() => server.stop());
  return server;
};

const setUpGateway = async (
  ...handlers: readonly ((request: RawRequest) => void)[]
): Promise<TestGateway> => {
  const servers = await Promise.all(
    handlers.map((handle, index) => startRawServer(`i-${index + 1}`, handle)),
  );
  return startTestGateway({ servers });
};

test('an answer that is reset with its last bytes is not whole, directly or over a relay', async (t) => {
  for (const body of ['half of it', 'x'.repeat(60_000)]) {
    for (const newConnection of [true, false]) {
      const server = await startServer(t, (request) => sendUnframed(request, body, END.reset));
      const direct = createServerClient({ clock: createFakeClock() });
      const relay = await startTestRelay([server]);
      for (const client of [direct, relay.client]) {
        const attempt = { ...buildTestAttempt(server.address, server.id), newConnection };
        const sent = await client.sendAttempt(attempt, new AbortController().signal);
        if (sent.isOk()) {
          const error = await t.throwsAsync(readAll(sent.value.body));
          t.is(sent.value.readEnd(error), 'reset');
        } else t.is(sent.error.connection, 'reset');
      }
      await Promise.all([direct.stop(), relay.stop()]);
    }
  }
});

test('an answer without a length whose connection ends in order is whole', async (t) => {
  const server = await startServer(t, (request) => sendUnframed(request, 'all', END.orderly));
  const direct = createServerClient({ clock: createFakeClock() });
  const relay = await startTestRelay([server]);
  for (const client of [direct, relay.client]) {
    for (const newConnection of [true, false]) {
      const attempt = { ...buildTestAttempt(server.address, server.id), newConnection };
      const answer = readOk(await client.sendAttempt(attempt, new AbortController().signal));
      t.is(await readAll(answer.body), 'all');
      t.is(answer.readEnd(null), 'closed');
    }
  }
  await Promise.all([direct.stop(), relay.stop()]);
});

test('a call whose answer is reset goes on if it may be repeated, and fails otherwise', async (t) => {
  const halve = (request: RawRequest): void => sendUnframed(request, 'half of it', END.reset);
  const finish = (request: RawRequest): void => sendUnframed(request, 'all of it', END.orderly);
  const failing = await setUpGateway(halve);
  t.is((await failing.send({ target: '/unsafe/x', body: '1' })).status, 502);
  await failing.stop();
  const mixed = await setUpGateway(halve, finish);
  for (let tries = 0; tries < 6; tries += 1) {
    const answer = await mixed.send({ target: '/safe/x', id: `r-${tries}` });
    t.like(answer, { status: 200, body: 'all of it', isWhole: true });
  }
  await mixed.stop();
});

test('a resumable stream that is reset between two events goes on at another server', async (t) => {
  const breakOff = (request: RawRequest): void => {
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    const isWhole = first > 1;
    const events = isWhole ? formatEvents(first, 4) : formatEvents(1, 2);
    sendUnframed(request, events, isWhole ? END.orderly : END.reset);
  };
  const harness = await setUpGateway(breakOff, breakOff);
  const answer = await harness.send(buildStreamRequest());
  t.like(answer, { status: 200, body: formatEvents(1, 4), isWhole: true });
  await harness.stop();
});

test('a stream that is reset and has no other server does not look whole', async (t) => {
  const server = (request: RawRequest): void =>
    sendUnframed(request, formatStandInEvent(1), END.reset);
  const harness = await setUpGateway(server);
  t.false((await harness.send(buildStreamRequest())).isWhole);
  await harness.stop();
});

test('answers to clients of engines, plain services and the store that are reset are not whole', async (t) => {
  const figures = { sequence: 1, running: 0, waiting: 0, slots: 4, cache_use: 0 };
  const load = JSON.stringify({ ...figures, tokens_per_second: 9, models: [] });
  const rows = JSON.stringify({ rows: [], truncated: false, ver: 1 });
  const readEnds = async (end: keyof typeof END): Promise<readonly (boolean | undefined)[]> => {
    const server = await startServer(t, (request) =>
      sendUnframed(request, request.target === '/load' ? load : rows, end),
    );
    const place = {
      server,
      clock: createFakeClock(),
      addCleanup: (stop: () => Promise<unknown>) => t.teardown(stop),
    };
    const names = ['plain service', 'engine load', 'store'];
    return Promise.all(names.map((name) => READERS[name]?.(place)()));
  };
  t.deepEqual(await readEnds(END.reset), [false, false, false]);
  t.deepEqual(await readEnds(END.orderly), [true, true, true]);
});
