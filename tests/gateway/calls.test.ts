import test from 'ava';
import { HEADERS, TABLES } from '../../platform';
import { createGatewayHandlers, startGatewayServer } from '../../src/adapters/connect';
import type { Member } from '../../src/application/gossip';
import { createFakeClock, QUIET_LOG } from '../../standins/fakes';
import { buildWireEntry, type StandInServer } from '../../standins/gateway';
import { readOk } from '../_lib/readOk';
import { buildBoundsWithoutRetries } from './_lib/buildBoundsWithoutRetries';
import { buildStubServices } from './_lib/buildStubServices';
import { countRequests } from './_lib/countRequests';
import { startTestGateway } from './_lib/startTestGateway';
import { takeNextRequest } from './_lib/takeNextRequest';

/** Attempts within which one call must get a retry from the other VM. */
const MAX_TRIES = 20;

test('a call is forwarded with its id, its workspace and the remaining time, and without its key', async (t) => {
  const harness = await startTestGateway({ clock: createFakeClock() });
  const answered = harness.send({
    target: '/unsafe/x?y=1',
    body: 'payment',
    headers: { 'x-other': 'kept', [HEADERS.hold]: 'smuggled', [HEADERS.kvFrom]: 'smuggled' },
  });
  const { request, server } = await takeNextRequest(harness.servers);
  t.is(request.target, '/unsafe/x?y=1');
  t.is(request.body, 'payment');
  t.is(request.headers[HEADERS.requestId], 'request-1');
  t.is(request.headers[HEADERS.workspace], 'w1');
  t.is(request.headers[HEADERS.expectServer], server.id);
  t.is(request.headers['x-other'], 'kept');
  t.is(request.headers.host, 'a.example');
  t.is(request.headers[HEADERS.authorization], undefined);
  t.is(request.headers[HEADERS.hold], undefined);
  t.is(request.headers[HEADERS.kvFrom], undefined);
  t.true(Number(request.headers[HEADERS.deadlineMs]) <= 4000);
  server.answer(request, 200, 'done');
  const answer = await answered;
  t.is(answer.status, 200);
  t.is(answer.body, 'done');
  t.is(answer.headers[HEADERS.signature], 'stand-in-stamp');
  await harness.stop();
});

// Guards against forwarding the first failure of a repeatable call: a lookup must not fail with a
// 500 while another server could answer it.
test('a repeatable call goes to another server after a failure', async (t) => {
  const harness = await startTestGateway({ clock: createFakeClock() });
  const answered = harness.send({ target: '/safe/x' });
  const first = await takeNextRequest(harness.servers);
  first.server.answer(first.request, 500, 'broken');
  const second = await takeNextRequest(harness.servers.filter((server) => server !== first.server));
  second.server.answer(second.request, 200, 'fine');
  const answer = await answered;
  t.is(answer.status, 200);
  t.is(answer.body, 'fine');
  await harness.stop();
});

// Guards against lookups that fail with 'no retry left' while servers are free. In a fleet of 195
// VMs, each has less than one retry of the shared budget. Streams borrowed a retry from another VM,
// but calls used only their own VM's retries.
test('a call that needs a retry uses one that another VM can spare', async (t) => {
  const self: Member = { vm: 'vm-2', address: '', availabilityZone: 'z2', cores: 1, ageMs: 0 };
  let lent = 0;
  let address = '';
  const handlers = createGatewayHandlers({
    ...buildStubServices(),
    handleKnowledge: (taken) => ({
      ...taken,
      sender: { ...self, address },
      members: [],
      heard: new Map(),
    }),
    lendRetry: () => {
      lent += 1;
      return true;
    },
  });
  const peer = readOk(
    await startGatewayServer(
      { handlers, log: QUIET_LOG, relay: { handleRequest: async () => undefined } },
      { host: '127.0.0.1', port: 0 },
    ),
  );
  address = new URL(peer.url).host;
  const harness = await startTestGateway({
    settings: { seedAddresses: [address], bounds: buildBoundsWithoutRetries() },
  });
  await harness.waitForLine('peers known');
  // The first server that receives a request answers 500, the next one 200.
  const failed = new Set<string>();
  harness.servers.forEach((server) =>
    server.addListener(() => {
      const request = server.takeRequest();
      if (!request) return;
      const id = String(request.headers[HEADERS.requestId]);
      if (failed.has(id)) server.answer(request, 200, 'yes');
      else server.answer(request, 500, 'no');
      failed.add(id);
    }),
  );
  // On a busy machine the lending VM may answer too late for a call, which then ends with the 500.
  let body = 'no';
  for (let tries = 0; tries < MAX_TRIES && body === 'no'; tries += 1) {
    ({ body } = await harness.send({ target: '/safe/x', id: `request-${tries}` }));
  }
  t.is(body, 'yes');
  t.true(lent >= 1);
  await harness.stop();
  await peer.stop();
});

// Guards against a payment that is made twice: the server receives the call, then its connection
// breaks, and the call is sent again although it may have run.
test('a non-idempotent call is never sent twice once it may have run', async (t) => {
  const harness = await startTestGateway({ clock: createFakeClock() });
  const answered = harness.send({ target: '/unsafe/x', body: '1' });
  const { request } = await takeNextRequest(harness.servers);
  request.socket.resetAndDestroy();
  const answer = await answered;
  t.is(answer.status, 502);
  t.is(countRequests(harness), 1);
  await harness.stop();
});

// Guards against forwarding a refusal while another server is free: the first server reports that
// it did not run the call.
test('a call that certainly did not run goes to another server, whatever its kind', async (t) => {
  const harness = await startTestGateway({ clock: createFakeClock() });
  const answered = harness.send({ target: '/unsafe/x', body: '1' });
  const first = await takeNextRequest(harness.servers);
  first.server.answer(first.request, 503, '', { [HEADERS.notRun]: '1' });
  const second = await takeNextRequest(harness.servers.filter((server) => server !== first.server));
  second.server.answer(second.request, 200, 'fine');
  t.is((await answered).status, 200);
  await harness.stop();
});

// Guards against a caller that gets the answer to another request: a late answer arrives on the
// connection where the next one is due, and the echoed id is not compared.
test('an answer with the id of another request is never forwarded', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1'] });
  const answered = harness.send({ target: '/unsafe/x', body: '1' });
  const { request, server } = await takeNextRequest(harness.servers);
  server.answer(request, 200, 'not yours', { [HEADERS.requestId]: 'another' });
  const answer = await answered;
  t.is(answer.status, 502);
  t.false(answer.body.includes('not yours'));
  await harness.stop();
});

test('an answer without the signature of the server is not forwarded as a success', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1'] });
  const answered = harness.send({ target: '/unsafe/x', body: '1' });
  const { request } = await takeNextRequest(harness.servers);
  request.response.writeHead(200, { [HEADERS.requestId]: 'request-1' });
  request.response.end('unsigned');
  t.is((await answered).status, 502);
  await harness.stop();
});

// Guards against an answer that breaks off on its way to the caller and looks complete: without a
// length, its end is that of the caller's connection.
test('an answer without a length is forwarded with the length of what was read', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1'] });
  const answered = harness.send({ target: '/unsafe/x', body: '1' });
  const { request } = await takeNextRequest(harness.servers);
  request.socket.end(
    `HTTP/1.1 200 OK\r\nConnection: close\r\n${HEADERS.requestId}: request-1\r\n` +
      `${HEADERS.signature}: s\r\n\r\nall of it`,
  );
  const answer = await answered;
  t.is(answer.body, 'all of it');
  t.is(answer.headers['content-length'], String('all of it'.length));
  t.is(answer.headers['transfer-encoding'], undefined);
  t.true(answer.isWhole);
  await harness.stop();
});

// Guards against calls that are reset after a server crashed and a new one started at its address:
// connections pooled by address belong to the old server.
test('a server that replaces another one at its address gets new connections', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1'] });
  const [server] = harness.servers as [StandInServer];
  const first = harness.send({ target: '/safe/x' });
  server.answer(await server.nextRequest(), 200, 'one');
  await first;
  harness.store.writeRow(TABLES.servers, 'i-9', buildWireEntry(server));
  await harness.waitForLine('server gone', ({ server: id }) => id === 'i-1');
  const second = await harness.send({
    target: '/safe/x',
    headers: { [HEADERS.deadlineMs]: '400' },
  });
  // The stand-in still answers as i-1, so the 503 shows that a new connection was used.
  t.is(second.status, 503);
  t.is(server.countConnections(), 2);
  await harness.stop();
});

test('a call without an answer is given up at the deadline, and its connection is closed', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1'] });
  const answered = harness.send({
    target: '/unsafe/x',
    body: '1',
    headers: { [HEADERS.deadlineMs]: '150' },
  });
  const { request } = await takeNextRequest(harness.servers);
  t.is((await answered).status, 504);
  await request.closed;
  await harness.stop();
});

// Guards against a server that keeps working for a caller that has closed its connection: the
// gateway must close the connection to the server as well.
test('the connection to the server is closed when the caller disconnects', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1'] });
  const { hostname, port } = new URL(harness.gateway.callerUrl);
  const { connect } = await import('node:net');
  const socket = connect(Number(port), hostname);
  socket.write(
    `GET /safe/x HTTP/1.1\r\nHost: a.example\r\n${HEADERS.requestId}: r\r\n` +
      `${HEADERS.authorization}: Bearer key-1\r\n\r\n`,
  );
  const { request } = await takeNextRequest(harness.servers);
  socket.destroy();
  await request.closed;
  t.pass();
  await harness.stop();
});

test('a leaving server gets no more requests', async (t) => {
  const harness = await startTestGateway({ clock: createFakeClock() });
  const [leaving, staying] = harness.servers as [StandInServer, StandInServer];
  harness.store.writeRow(
    TABLES.servers,
    leaving.id,
    buildWireEntry(leaving, { state: 'draining' }),
  );
  await harness.waitForLine('server leaving');
  for (let index = 0; index < 6; index += 1) {
    const answered = harness.send({ target: '/safe/x' });
    staying.answer(await staying.nextRequest(), 200, 'fine');
    t.is((await answered).status, 200);
  }
  t.is(leaving.countRequests(), 0);
  await harness.stop();
});
