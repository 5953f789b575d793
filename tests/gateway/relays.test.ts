// Guards against requests that change, or of which the truth is lost, on their way through a VM.
import type { Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { RELAY_HEADERS } from '../../src/application/paths';
import { createStandInServer } from '../../standins/gateway';
import { readOk } from '../_lib/readOk';
import { buildTestAttempt } from './_lib/buildTestAttempt';
import { readAll } from './_lib/readAll';
import { startTestRelay } from './_lib/startTestRelay';
import { startUnframedStream } from './_lib/startUnframedStream';

const setUp = async (t: ExecutionContext) => {
  const server = await createStandInServer('i-1');
  const relay = await startTestRelay([server]);
  t.teardown(async () => {
    await relay.stop();
    await server.stop();
  });
  const abort = new AbortController();
  const attempt = buildTestAttempt('127.0.0.1:1', server.id);
  const send = (change: object = {}) =>
    relay.client.sendAttempt({ ...attempt, ...change }, abort.signal);
  return { abort, attempt, relay, send, server };
};

test('a relayed request and its answer arrive whole', async (t) => {
  const { attempt, relay, send, server } = await setUp(t);
  const body = Buffer.from('x'.repeat(200_000));
  const sent = send({ request: { ...attempt.request, body, method: 'POST', target: '/y?z=1' } });
  const received = await server.nextRequest();
  t.deepEqual(
    [received.method, received.target, received.body],
    ['POST', '/y?z=1', body.toString()],
  );
  t.false(Object.keys(received.headers).some((name) => name.startsWith('jackdaw-relay')));
  server.answer(received, 200, 'yes'.repeat(100_000), { 'x-extra': 'kept' });
  const { head, relay: vm, body: answer } = readOk(await sent);
  t.deepEqual([head.status, head.isVerified, head.isFramed, vm], [200, true, true, 'relay']);
  t.true(head.forwardedHeaders.includes('x-extra'));
  t.is(await readAll(answer), 'yes'.repeat(100_000));
  t.deepEqual(relay.observed, []);
});

// Guards against answers that show callers the ids of servers.
test('an answer bears no header of its relay', async (t) => {
  const { send, server } = await setUp(t);
  const sent = send();
  server.answer(await server.nextRequest(), 200, 'yes');
  const { head } = readOk(await sent);
  const names = new Set<string>(Object.values(RELAY_HEADERS));
  t.deepEqual(
    head.forwardedHeaders.filter((text) => names.has(text)),
    [],
  );
});

test('events of a relayed stream arrive as they are sent', async (t) => {
  const { send, server } = await setUp(t);
  const sent = send({ newConnection: true });
  const received = await server.nextRequest();
  server.startStream(received);
  const events = readOk(await sent).body[Symbol.asyncIterator]();
  for (let id = 1; id <= 3; id += 1) {
    server.sendEvents(received, id, id);
    t.regex(String((await events.next()).value), new RegExp(`^id: ${id}\n`));
  }
  received.response.end();
  t.true((await events.next()).done);
});

test('an answer that breaks off behind the relay does not end like a complete one', async (t) => {
  const { send, server } = await setUp(t);
  const sent = send();
  const received = await server.nextRequest();
  server.startStream(received);
  server.sendEvents(received, 1, 1);
  const { body } = readOk(await sent);
  received.socket.resetAndDestroy();
  await t.throwsAsync(readAll(body));
});

test('a connection that breaks behind the relay may have run the request', async (t) => {
  const { relay, send, server } = await setUp(t);
  const sent = send();
  (await server.nextRequest()).socket.resetAndDestroy();
  const error = (await sent)._unsafeUnwrapErr();
  t.like(error, { kind: 'broken', connection: 'reset', relay: 'relay' });
  t.deepEqual(relay.observed, ['miss']);
});

test('a request that the relay did not send on did not start', async (t) => {
  const { relay, send, server } = await setUp(t);
  await server.stop();
  t.is((await send())._unsafeUnwrapErr().kind, 'not-started');
  relay.drain();
  t.is((await send())._unsafeUnwrapErr().kind, 'not-started');
  t.deepEqual(relay.observed, ['miss', 'miss']);
});

test('a relay that is gone is no evidence against the server', async (t) => {
  const { relay, send, server } = await setUp(t);
  const sent = send();
  await server.nextRequest();
  await relay.stopListening();
  const broken = (await sent)._unsafeUnwrapErr();
  t.like(broken, { kind: 'broken', connection: 'unseen' });
  t.like((await send())._unsafeUnwrapErr(), { kind: 'not-started', connection: 'unseen' });
  t.deepEqual(relay.observed, ['loss', 'loss']);
});

test('a caller that leaves ends the request at the server', async (t) => {
  const { abort, relay, send, server } = await setUp(t);
  const sent = send();
  const received = await server.nextRequest();
  t.is(relay.countRunning(), 1);
  abort.abort();
  t.is((await sent)._unsafeUnwrapErr().kind, 'cancelled');
  await received.closed;
  t.false(received.response.writableFinished);
});

test('an answer without length or chunks is told from others behind the relay', async (t) => {
  const { send, server } = await setUp(t);
  const sent = send({ newConnection: true });
  const received = await server.nextRequest();
  startUnframedStream({ request: received, server });
  server.sendEvents(received, 1, 1);
  received.response.end();
  const { body, head } = readOk(await sent);
  t.false(head.isFramed);
  t.regex(await readAll(body), /^id: 1\n/);
});

test('a stream that its server broke off is told from one that the relay broke off', async (t) => {
  const { relay, send, server } = await setUp(t);
  const readFault = async (breakOff: (socket: Socket) => void): Promise<string> => {
    const sent = send({ newConnection: true });
    const received = await server.nextRequest();
    server.startStream(received);
    const { body, readEnd } = readOk(await sent);
    breakOff(received.socket);
    return readEnd(await t.throwsAsync(readAll(body)));
  };
  t.is(await readFault((socket) => socket.resetAndDestroy()), 'reset');
  t.is(await readFault((socket) => socket.end()), 'closed');
  t.is(await readFault(() => relay.stopListening()), 'unseen');
});
