// Guards against a relay's word that is believed for another request: the relay's 'not sent' lets the
// request run at another server.
import { once } from 'node:events';
import test, { type ExecutionContext } from 'ava';
import { createServerClient, HEADERS } from '../../platform';
import { RELAY_HEADERS } from '../../src/application/paths';
import { createFakeClock } from '../../standins/fakes';
import { buildTestAttempt } from './_lib/buildTestAttempt';
import { formatRawAnswer } from './_lib/formatRawAnswer';
import { readAll } from './_lib/readAll';
import { sendOnKeptConnection } from './_lib/sendOnKeptConnection';
import { startRawServer, type RawRequest } from './_lib/startRawServer';

type Reply = (request: RawRequest) => string;

const readExchange = ({ headers }: RawRequest): string => String(headers[RELAY_HEADERS.exchange]);

const formatAnswer = ({ headers }: RawRequest, own: Readonly<Record<string, string>> = {}) =>
  formatRawAnswer(
    200,
    {
      [RELAY_HEADERS.server]: 'i-1',
      [HEADERS.requestId]: String(headers[HEADERS.requestId]),
      [HEADERS.signature]: 's',
      ...own,
    },
    'own',
  );

const formatFailure = (own: Readonly<Record<string, string>>): string =>
  formatRawAnswer(502, {
    [RELAY_HEADERS.server]: 'i-1',
    [RELAY_HEADERS.end]: 'unsent',
    [RELAY_HEADERS.reason]: 'the relay is shutting down',
    ...own,
  });

/** Starts a relay that answers the first request of a connection, and replies to others by `reply`. */
const setUp = async (t: ExecutionContext, reply: Reply) => {
  const observed: string[] = [];
  const relay = await startRawServer('relay', (request) => {
    const echo = { [RELAY_HEADERS.exchange]: readExchange(request) };
    request.socket.write(request.earlier > 0 ? reply(request) : formatAnswer(request, echo));
  });
  const client = createServerClient({
    clock: createFakeClock(),
    paths: {
      choosePath: () => ({ kind: 'relay', vm: 'relay', address: relay.address }),
      isCutFrom: () => false,
      recordAnswer: () => undefined,
      recordFailure: () => undefined,
      recordRelayLoss: () => observed.push('loss'),
      recordRelayMiss: () => observed.push('miss'),
      recordRelaySilence: () => undefined,
    },
  });
  t.teardown(async () => {
    await client.stop();
    await relay.stop();
  });
  const attempt = buildTestAttempt('127.0.0.1:1', 'i-1');
  const send = async () => {
    const sent = await client.sendAttempt(attempt, new AbortController().signal);
    return sent.isOk() ? readAll(sent.value.body) : sent.error;
  };
  return { observed, relay, send };
};

test('a relay that did not send a request is believed for that request', async (t) => {
  const { observed, relay, send } = await setUp(t, (request) =>
    formatFailure({ [RELAY_HEADERS.exchange]: readExchange(request) }),
  );
  t.like(await sendOnKeptConnection(relay, send), { kind: 'not-started', connection: 'unsent' });
  t.deepEqual(observed, ['miss']);
});

test('a failure that a relay tells of another request is not believed', async (t) => {
  const { observed, relay, send } = await setUp(t, () =>
    formatFailure({ [RELAY_HEADERS.exchange]: 'other' }),
  );
  const failed = await sendOnKeptConnection(relay, send);
  t.like(failed, { kind: 'broken', connection: 'unseen', relay: 'relay' });
  t.deepEqual(observed, ['loss']);
  const socket = relay.requests.at(-1)?.socket;
  if (socket && !socket.destroyed) await once(socket, 'close');
  t.is(await send(), 'own');
});

test('a relay that names no request may have sent it, and its answers arrive', async (t) => {
  const { observed, relay, send } = await setUp(t, () => formatFailure({}));
  const failed = await sendOnKeptConnection(relay, send);
  t.like(failed, { kind: 'broken', connection: 'unseen', relay: 'relay' });
  t.deepEqual(observed, ['miss']);
  const older = await setUp(t, (request) => formatAnswer(request));
  t.is(await sendOnKeptConnection(older.relay, older.send), 'own');
});

test('an answer that a relay sends on for another request is not read', async (t) => {
  const { relay, send } = await setUp(t, (request) =>
    formatAnswer(request, { [RELAY_HEADERS.exchange]: 'other' }),
  );
  t.like(await sendOnKeptConnection(relay, send), { kind: 'broken', connection: 'unseen' });
});
