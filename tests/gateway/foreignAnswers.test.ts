// Guards against answers that are believed before it is known whose they are: a late copy of the
// refusal of one request made the next one on the connection run at two servers.
import { once } from 'node:events';
import { setImmediate as waitForLoop } from 'node:timers/promises';
import test, { type ExecutionContext } from 'ava';
import { createServerClient, HEADERS, PATHS } from '../../platform';
import type { ServerClient } from '../../platform/createServerClient';
import { createFakeClock } from '../../standins/fakes';
import { readOk } from '../_lib/readOk';
import { buildTestAttempt } from './_lib/buildTestAttempt';
import { formatRawAnswer } from './_lib/formatRawAnswer';
import { readAll } from './_lib/readAll';
import { sendOnKeptConnection } from './_lib/sendOnKeptConnection';
import { startRawServer, type RawRequest, type RawServer } from './_lib/startRawServer';
import { startTestGateway } from './_lib/startTestGateway';
import { startTestRelay } from './_lib/startTestRelay';

const readId = ({ headers }: RawRequest): string => String(headers[HEADERS.requestId] ?? '');

const REPORT = JSON.stringify({ queued: 7, active: 7, kv_used: 0, kv_total: 88_000, runs: [] });

/** Answers the requests about the state of a server; false for the others. */
const answerQuery = (id: string, { socket, target }: RawRequest): boolean => {
  if (target === PATHS.report) socket.write(formatRawAnswer(200, {}, REPORT));
  else if (target === '/healthz') socket.write(formatRawAnswer(200, { [HEADERS.serverId]: id }));
  else return false;
  return true;
};

const answer = (request: RawRequest, body = 'own'): void => {
  const headers = { [HEADERS.requestId]: readId(request), [HEADERS.signature]: 's' };
  request.socket.write(formatRawAnswer(200, headers, body));
};

/** Answers that refuse a request, or tell the state of a server, each with the id of another request. */
const FOREIGN_HEADS: readonly (readonly [number, Readonly<Record<string, string>>])[] = [
  [503, { [HEADERS.notRun]: '1', [HEADERS.retryAfter]: '2' }],
  [429, { [HEADERS.notRun]: '1', [HEADERS.limit]: '1', [HEADERS.brittle]: '1' }],
  [400, { [HEADERS.notRun]: '1' }],
  [421, { [HEADERS.serverId]: 'i-9' }],
  [200, { [HEADERS.signature]: 's', [HEADERS.load]: '9,9,9', [HEADERS.leaving]: '1' }],
  [500, { [HEADERS.signature]: 's' }],
];

const FOREIGN_IDS: readonly Readonly<Record<string, string>>[] = [
  { [HEADERS.requestId]: 'request-0' },
  {},
];

const CASES = FOREIGN_IDS.flatMap((id) =>
  FOREIGN_HEADS.map(([status, headers]) => formatRawAnswer(status, { ...headers, ...id }, 'other')),
);

/** Starts a server that answers the first request of a connection, and leaves the others to a test. */
const startServer = async (
  t: ExecutionContext,
  answerLater: (request: RawRequest) => void,
): Promise<RawServer> => {
  const server: RawServer = await startRawServer('i-1', (request) => {
    if (request.earlier > 0) answerLater(request);
    else if (!answerQuery('i-1', request)) answer(request);
  });
  t.teardown(() => server.stop());
  return server;
};

/** Resolves once the connection of the newest request is closed. */
const waitForClose = async ({ requests }: RawServer): Promise<void> => {
  const socket = requests.at(-1)?.socket;
  if (socket && !socket.destroyed) await once(socket, 'close');
};

const createClient = (t: ExecutionContext): ServerClient => {
  const client = createServerClient({ clock: createFakeClock() });
  t.teardown(() => client.stop());
  return client;
};

test('a call that ran is not sent on after a late refusal of an earlier one', async (t) => {
  const runs: string[] = [];
  const refusals = new Map<unknown, string>();
  const startRefusing = (id: string): Promise<RawServer> =>
    startRawServer(id, (request) => {
      if (answerQuery(id, request)) return;
      const { socket } = request;
      const late = refusals.get(socket);
      if (late !== undefined) {
        runs.push(readId(request));
        socket.write(late);
        setTimeout(() => answer(request), 20);
        return;
      }
      const echo = { [HEADERS.requestId]: readId(request) };
      const refusal = formatRawAnswer(503, { [HEADERS.notRun]: '1', ...echo });
      refusals.set(socket, refusal);
      socket.write(refusal);
    });
  const servers = await Promise.all(['i-1', 'i-2'].map(startRefusing));
  const { send, stop } = await startTestGateway({
    servers,
  });
  t.is((await send({ target: '/unsafe/1', id: 'r-1', body: 'x' })).status, 503);
  const second = await send({ target: '/unsafe/1', id: 'r-2', body: 'x' });
  t.deepEqual(runs, ['r-2']);
  t.is(second.status, 502);
  await stop();
});

test('nothing is believed of an answer to another request, and its connection is closed', async (t) => {
  for (const bytes of CASES) {
    const server = await startServer(t, ({ socket }) => socket.write(bytes));
    const client = createClient(t);
    const attempt = buildTestAttempt(server.address, server.id);
    const { signal } = new AbortController();
    const outcome = await sendOnKeptConnection(server, async () => {
      const sent = await client.sendAttempt(attempt, signal);
      return sent.isOk() ? readAll(sent.value.body) : sent.error;
    });
    t.like(outcome, { kind: 'broken', connection: 'out-of-step' }, bytes);
    await waitForClose(server);
    t.is(await readAll(readOk(await client.sendAttempt(attempt, signal)).body), 'own');
  }
});

test('a relay tells of an answer to another request, and closes its connection', async (t) => {
  for (const bytes of CASES) {
    const server = await startServer(t, ({ socket }) => socket.write(bytes));
    const relay = await startTestRelay([server]);
    t.teardown(() => relay.stop());
    const attempt = buildTestAttempt('127.0.0.1:1', server.id);
    const { signal } = new AbortController();
    const outcome = await sendOnKeptConnection(server, async () => {
      const sent = await relay.client.sendAttempt(attempt, signal);
      return sent.isOk() ? readAll(sent.value.body) : sent.error;
    });
    t.like(outcome, { kind: 'broken', connection: 'out-of-step', relay: 'relay' }, bytes);
    await waitForClose(server);
    t.is(await readAll(readOk(await relay.client.sendAttempt(attempt, signal)).body), 'own');
    t.deepEqual(relay.observed, []);
  }
});

test('a server keeps its requests after an answer that tells of another one', async (t) => {
  for (const [status, headers] of FOREIGN_HEADS) {
    const bytes = formatRawAnswer(
      status,
      { ...headers, [HEADERS.requestId]: 'request-0' },
      'other',
    );
    const server = await startRawServer('i-1', (request) => {
      if (answerQuery('i-1', request)) return;
      if (readId(request) === 'r-2') request.socket.write(bytes);
      else answer(request);
    });
    const { send, stop } = await startTestGateway({
      servers: [server],
    });
    const statuses: number[] = [];
    for (const id of ['r-1', 'r-2', 'r-3'])
      statuses.push((await send({ target: '/unsafe/1', id, body: 'x' })).status);
    t.deepEqual(statuses, [200, 502, 200], bytes);
    await stop();
  }
});

test('a request about the state of a server does not read the late answer to a call', async (t) => {
  const late = { [HEADERS.requestId]: 'request-1', [HEADERS.load]: '9,9,9' };
  const bytes = formatRawAnswer(200, { ...late, [HEADERS.serverId]: 'i-9' }, REPORT);
  for (const read of ['readReport', 'readIdentity', 'readCachedPromptParts'] as const) {
    const server = await startServer(t, ({ socket }) => socket.write(bytes));
    const client = createClient(t);
    const { server: entry } = buildTestAttempt(server.address, server.id);
    const found = await sendOnKeptConnection<unknown>(server, () =>
      client[read](entry, '/healthz'),
    );
    t.true(found === null || (found instanceof Map && found.size === 0), read);
    await waitForClose(server);
    t.is((await client.readReport(entry))?.running, 7);
  }
});

test('a report is read only from a whole report', async (t) => {
  for (const bytes of [
    formatRawAnswer(503, {}, REPORT),
    formatRawAnswer(200, {}, JSON.stringify({ handle: 'h', created: 3 })),
    formatRawAnswer(200, { [HEADERS.serverId]: 'i-1' }),
  ]) {
    const server = await startServer(t, ({ socket }) => socket.write(bytes));
    const client = createClient(t);
    const { server: entry } = buildTestAttempt(server.address, server.id);
    t.is((await client.readReport(entry))?.running, 7);
    t.is(await sendOnKeptConnection(server, () => client.readReport(entry)), null, bytes);
  }
});

test('a copy of a run is never named by the late answer to another request', async (t) => {
  const handle = (name: string): string =>
    formatRawAnswer(200, {}, JSON.stringify({ handle: name, created: 1 }));
  const copying = await startRawServer('i-1', ({ body, earlier, socket, target }) => {
    if (target !== PATHS.copyRun) socket.write(formatRawAnswer(200, {}, REPORT));
    else {
      if (earlier > 0) socket.write(handle('of another run'));
      socket.write(handle(JSON.parse(body).id));
    }
  });
  t.teardown(() => copying.stop());
  const client = createClient(t);
  const { server: entry } = buildTestAttempt(copying.address, copying.id);
  const { server: to } = buildTestAttempt('127.0.0.1:1', 'i-2');
  await sendOnKeptConnection(copying, () => client.readReport(entry));
  for (const id of ['run-1', 'run-2', 'run-3']) {
    t.is(readOk(await client.copyRun(entry, id, to, { stops: false })).handle, id);
    await waitForLoop();
  }
});
