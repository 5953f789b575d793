// Symptom: one request ended 56 servers, and the streams that ran there with it.
// Sequence: each server that begins to run it ends before its first event; it goes to the next one,
// and comes again at other VMs with the same path, caller and body.
// Cause: failures are charged to servers only; what a request did is forgotten with its attempt.
import test from 'ava';
import { HEADERS, TABLES } from '../../platform';
import { createFakeClock } from '../../standins/fakes';
import {
  buildWireConfiguration,
  buildWireEntry,
  createStandInServer,
  formatStandInEvent,
} from '../../standins/gateway';
import { buildStreamRequest } from './_lib/buildStreamRequest';
import { countRequests } from './_lib/countRequests';
import { crashNextServer } from './_lib/crashNextServer';
import { findFreePort } from '../../standins/_lib/findFreePort';
import { formatEvents } from './_lib/formatEvents';
import { takeNextRequest } from './_lib/takeNextRequest';
import { sendEvents } from './_lib/sendEvents';
import { startTestGateway } from './_lib/startTestGateway';

const SERVER_IDS = ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6'];

const REFUSED_STATUS = 503;

/** The same routes with another bound on the servers that one request may go to. */
const buildConfiguration = (maxAttempts: number): object => {
  const { routes } = buildWireConfiguration() as { routes: object[] };
  return { routes: routes.map((route) => ({ ...route, max_attempts: maxAttempts })) };
};

test('a stream that crashed three servers is sent to no fourth one, nor when it comes again', async (t) => {
  const configuration = buildConfiguration(5);
  const bench = await startTestGateway({ serverIds: SERVER_IDS, configuration });
  const followed = bench.follow(buildStreamRequest());
  for (let crashed = 0; crashed < 3; crashed += 1) await crashNextServer(bench);
  t.false((await followed.done).isWhole);
  t.is(countRequests(bench), 3);
  const again = await bench.send({ ...buildStreamRequest(), id: 'request-2' });
  t.is(again.status, REFUSED_STATUS);
  t.is(countRequests(bench), 3);
  await bench.stop();
});

test('a repeatable call that crashed three servers is sent to no fourth one', async (t) => {
  const configuration = buildConfiguration(5);
  const bench = await startTestGateway({ serverIds: SERVER_IDS, configuration });
  const answered = bench.send({ target: '/safe/x', headers: { [HEADERS.deadlineMs]: '2000' } });
  for (let crashed = 0; crashed < 3; crashed += 1) await crashNextServer(bench, { begins: false });
  await answered;
  t.is(countRequests(bench), 3);
  await bench.waitForLine(
    'request crashed a server',
    ({ isQuarantined }) => isQuarantined === true,
  );
  t.is((await bench.send({ target: '/safe/x', id: 'request-2' })).status, REFUSED_STATUS);
  t.is(countRequests(bench), 3);
  await bench.stop();
});

test('a call that crashed all servers of its service within a moment is put into quarantine', async (t) => {
  const { services } = buildWireConfiguration() as { services: object[] };
  const other = { name: 'other', health_path: '/healthz', max_conns: 50 };
  const bench = await startTestGateway({
    serverIds: ['i-1', 'i-2', 'i-3'],
    configuration: { ...buildConfiguration(5), services: [...services, other] },
  });
  const witness = await createStandInServer('i-9');
  bench.store.writeRow(TABLES.servers, 'i-9', buildWireEntry(witness, { service: 'other' }));
  await bench.waitForLine('server known', ({ server }) => server === 'i-9');
  const answered = bench.send({ target: '/safe/x', headers: { [HEADERS.deadlineMs]: '2000' } });
  for (let crashed = 0; crashed < 3; crashed += 1) await crashNextServer(bench, { begins: false });
  await answered;
  const verdict = await Promise.race([
    bench.waitForLine('request crashed a server', ({ crashes }) => crashes === 3),
    bench.waitForLine('crash not confirmed'),
  ]);
  t.true(verdict.isQuarantined);
  t.is(witness.countRequests(), 0);
  await bench.stop();
  await witness.stop();
});

test('servers that a request crashed at another VM count here', async (t) => {
  const configuration = buildConfiguration(2);
  const port = await findFreePort();
  const settings = { peerAddress: `127.0.0.1:${port}` };
  const bench = await startTestGateway({ serverIds: SERVER_IDS, configuration, settings });
  const other = await startTestGateway({
    sharedWith: bench,
    settings: { vm: 'vm-2', seedAddresses: [settings.peerAddress] },
  });
  await bench.waitForLine('peers known');
  const first = other.follow(buildStreamRequest({ [HEADERS.deadlineMs]: '1500' }));
  await crashNextServer(bench);
  await crashNextServer(bench);
  await first.done;
  const second = bench.follow({ ...buildStreamRequest(), id: 'request-2' });
  await crashNextServer(bench);
  await second.done;
  t.is(countRequests(bench), 3);
  await other.stop();
  await bench.stop();
});

test('the quarantine of a request outlives the end of all VMs at once', async (t) => {
  const configuration = buildConfiguration(5);
  const bench = await startTestGateway({ serverIds: SERVER_IDS, configuration });
  const followed = bench.follow(buildStreamRequest());
  for (let crashed = 0; crashed < 3; crashed += 1) await crashNextServer(bench);
  await followed.done;
  await bench.waitForLine('quarantine written');
  await bench.gateway.stop();
  const restarted = await startTestGateway({
    sharedWith: bench,
    settings: { isFirstStart: false },
  });
  await restarted.waitForLine('quarantine rows read');
  const again = await restarted.send({ ...buildStreamRequest(), id: 'request-2' });
  t.is(again.status, REFUSED_STATUS);
  t.is(countRequests(bench), 3);
  await restarted.stop();
  await bench.stop();
});

test('a request that lost three servers in the middle of its run is in no quarantine', async (t) => {
  const configuration = buildConfiguration(5);
  const clock = createFakeClock();
  const bench = await startTestGateway({ serverIds: SERVER_IDS, configuration, clock });
  const followed = bench.follow(buildStreamRequest());
  for (let crashed = 0; crashed < 3; crashed += 1) {
    const { request, server } = await takeNextRequest(bench.servers);
    server.startStream(request);
    server.sendEvents(request, crashed + 1, crashed + 1);
    await followed.waitForText(formatStandInEvent(crashed + 1));
    clock.advance(1100);
    await server.crash();
  }
  const last = await takeNextRequest(bench.servers);
  sendEvents(last, 4, 5);
  t.is((await followed.done).body, formatEvents(1, 5));
  await bench.stop();
});

// Symptom: a caller who comes back is refused everywhere for ten minutes, though no server ended.
// Sequence: the VM's path to the servers resets each connection; it tells the others of three crashes.
// Cause: a connection that broke was taken for a server that ended.
test('connections that are reset under requests put none of them into quarantine', async (t) => {
  const bench = await startTestGateway({
    serverIds: SERVER_IDS,
    configuration: buildConfiguration(5),
  });
  const call = bench.send({ target: '/safe/x', headers: { [HEADERS.deadlineMs]: '2000' } });
  for (let reset = 0; reset < 3; reset += 1) {
    (await takeNextRequest(bench.servers)).request.socket.resetAndDestroy();
  }
  await call;
  const stream = bench.follow(buildStreamRequest());
  for (let reset = 0; reset < 3; reset += 1) {
    (await takeNextRequest(bench.servers)).request.socket.resetAndDestroy();
  }
  sendEvents(await takeNextRequest(bench.servers), 1, 2);
  t.is((await stream.done).body, formatEvents(1, 2));
  await bench.waitForLine('crash not confirmed');
  t.deepEqual(
    bench.lines.filter(({ message }) => message === 'request crashed a server'),
    [],
  );
  const again = bench.send({ target: '/safe/x', id: 'request-2' });
  const { request, server } = await takeNextRequest(bench.servers);
  server.answer(request, 200, 'yes');
  t.is((await again).status, 200);
  await bench.stop();
});
