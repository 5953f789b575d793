// Guards against requests that run twice: an established connection that had taken the request broke
// with an error that otherwise means that no connection was made, which counted as not sent.
import test, { type ExecutionContext } from 'ava';
import { createServerClient, HEADERS, PATHS } from '../../platform';
import { createFakeClock } from '../../standins/fakes';
import { CONNECT_CODES, createSocketBreaker } from '../_lib/createSocketBreaker';
import { buildTestAttempt } from './_lib/buildTestAttempt';
import { formatRawAnswer } from './_lib/formatRawAnswer';
import { startRawServer, type RawRequest } from './_lib/startRawServer';
import { startTestGateway } from './_lib/startTestGateway';
import { startTestRelay } from './_lib/startTestRelay';

/** Answers the requests about the state of a server; false for the others. */
const answerQuery = (id: string, { socket, target }: RawRequest): boolean => {
  if (target === PATHS.report) socket.write(formatRawAnswer(503, {}));
  else if (target === '/healthz') socket.write(formatRawAnswer(200, { [HEADERS.serverId]: id }));
  else return false;
  return true;
};

const setUp = (t: ExecutionContext) => {
  const breaker = createSocketBreaker();
  t.teardown(breaker.stop);
  const startServer = async (handle: (request: RawRequest) => void) => {
    const server = await startRawServer('i-1', handle);
    t.teardown(server.stop);
    return server;
  };
  return { breaker, startServer };
};

test.serial(
  'a request that a server took is broken whatever its connection ends with',
  async (t) => {
    const { breaker, startServer } = setUp(t);
    const client = createServerClient({ clock: createFakeClock() });
    t.teardown(() => client.stop());
    for (const code of CONNECT_CODES) {
      const server = await startServer(({ socket }) => breaker.breakOff(socket, code));
      const attempt = buildTestAttempt(server.address, `${server.id}-${code}`);
      for (const newConnection of [false, true]) {
        const sent = await client.sendAttempt(
          { ...attempt, newConnection },
          new AbortController().signal,
        );
        t.like(sent._unsafeUnwrapErr(), { kind: 'broken', reason: code, relay: null });
      }
      t.is(server.requests.length, 2, code);
    }
  },
);

test.serial('a relay does not take a request that it sent for one that it did not', async (t) => {
  const { breaker, startServer } = setUp(t);
  for (const code of CONNECT_CODES) {
    const server = await startServer(({ socket }) => breaker.breakOff(socket, code));
    const relay = await startTestRelay([server]);
    t.teardown(relay.stop);
    const attempt = buildTestAttempt('127.0.0.1:1', server.id);
    const sent = await relay.client.sendAttempt(attempt, new AbortController().signal);
    t.like(sent._unsafeUnwrapErr(), { kind: 'broken', relay: 'relay' }, code);
    t.not(sent._unsafeUnwrapErr().connection, 'unsent', code);
    t.is(server.requests.length, 1, code);
  }
});

test.serial(
  'a request that a relay took is broken whatever the connection ends with',
  async (t) => {
    const { breaker, startServer } = setUp(t);
    for (const code of CONNECT_CODES) {
      const server = await startServer(({ socket }) => breaker.breakOthers(socket, code));
      const relay = await startTestRelay([server]);
      t.teardown(relay.stop);
      const attempt = buildTestAttempt('127.0.0.1:1', server.id);
      const sent = await relay.client.sendAttempt(attempt, new AbortController().signal);
      t.like(
        sent._unsafeUnwrapErr(),
        { kind: 'broken', connection: 'unseen', relay: 'relay' },
        code,
      );
      t.is(server.requests.length, 1, code);
    }
  },
);

test.serial('a call that must not be repeated runs once if its connection breaks', async (t) => {
  const { breaker } = setUp(t);
  for (const code of CONNECT_CODES) {
    let runs = 0;
    const startBreaking = (id: string) =>
      startRawServer(id, (request) => {
        if (answerQuery(id, request)) return;
        runs += 1;
        breaker.breakOff(request.socket, code);
      });
    const servers = await Promise.all(['i-1', 'i-2'].map(startBreaking));
    const { send, stop } = await startTestGateway({ servers });
    t.teardown(stop);
    const { status } = await send({ target: '/unsafe/1', id: 'r-1', body: 'x' });
    t.deepEqual([status, runs], [502, 1], code);
  }
});

// An entry may hold an address that is well formed and still none: the digits of a part that begins
// with a zero are octal.
const NO_ADDRESS = '127.0.0.09:80';

/** Nothing listens there. */
const CLOSED_ADDRESS = '127.0.0.1:1';

/** Calls until one must have been sent to either server. */
const MAX_CALLS = 30;

test('a request to a server without a usable address was not sent', async (t) => {
  const client = createServerClient({ clock: createFakeClock() });
  t.teardown(() => client.stop());
  for (const newConnection of [false, true]) {
    const attempt = { ...buildTestAttempt(NO_ADDRESS, 'i-1'), newConnection };
    const sent = await client.sendAttempt(attempt, new AbortController().signal);
    t.like(sent._unsafeUnwrapErr(), { kind: 'not-started', connection: 'unsent' });
  }
});

test('a call goes on from a server that it cannot be sent to to the next one', async (t) => {
  const server = await startRawServer('i-1', (request) => {
    if (answerQuery('i-1', request)) return;
    const id = String(request.headers[HEADERS.requestId]);
    request.socket.write(
      formatRawAnswer(200, { [HEADERS.requestId]: id, [HEADERS.signature]: 's' }),
    );
  });
  const nowhere = { id: 'i-2', address: CLOSED_ADDRESS, stop: () => Promise.resolve() };
  const { lines, send, stop } = await startTestGateway({ servers: [server, nowhere] });
  t.teardown(stop);
  const isUnsent = (): boolean => lines.some(({ basis }) => basis === 'not-sent');
  for (let sent = 1; sent <= MAX_CALLS && !isUnsent(); sent += 1)
    t.is((await send({ target: '/unsafe/1', id: `r-${sent}`, body: 'x' })).status, 200);
  t.true(isUnsent());
});
