// Guards against requests that are sent on although their callers left before a VM that was late had
// read them.
import { connect } from 'node:net';
import { once } from 'node:events';
import { setTimeout as wait } from 'node:timers/promises';
import test from 'ava';
import { CONFIGURATION_KEY, HEADERS, TABLES } from '../../platform';
import { drawLoopbackHost } from '../../standins/_lib/drawLoopbackHost';
import {
  buildWireConfiguration,
  buildWireEntry,
  createStandInServer,
  createStandInStore,
  TEST_KEY,
} from '../../standins/gateway';
import { startGatewayProcess } from './_lib/startGatewayProcess';

const CALLERS = 12;

/** Callers give up a request that is not read for this time. */
const GIVE_UP_MS = 700;

/** Time in which the VM, once it goes on, reads what has arrived. */
const READ_MS = 1500;

const TARGETS = ['/safe/x', '/unsafe/x', '/stream/x'] as const;

const formatRequest = (url: URL, target: string, id: string): string =>
  [
    `GET ${target} HTTP/1.1`,
    'host: a.example',
    `${HEADERS.requestId}: ${id}`,
    `${HEADERS.deadlineMs}: 4000`,
    `${HEADERS.authorization}: Bearer ${TEST_KEY}`,
    '',
    '',
  ].join('\r\n');

test('a request whose caller left before it was read reaches no server', async (t) => {
  const store = await createStandInStore();
  const servers = await Promise.all(['i-1', 'i-2'].map((id) => createStandInServer(id)));
  servers.forEach((server) => {
    store.writeRow(TABLES.servers, server.id, buildWireEntry(server));
    server.addListener(() => {
      const request = server.takeRequest();
      if (request) server.answer(request, 200, 'answer');
    });
  });
  store.writeRow(TABLES.operator, CONFIGURATION_KEY, buildWireConfiguration());
  const gateway = await startGatewayProcess({
    vm: 'vm-1',
    zone: 'z1',
    ip: drawLoopbackHost(),
    seeds: [],
    storeUrl: store.url,
  });
  const url = new URL(gateway.callerUrl);
  const countRequests = (): number =>
    servers.reduce((sum, server) => sum + server.countRequests(), 0);
  // Kept connections, to the gateway and from it to the servers.
  const kept = await Promise.all(
    Array.from({ length: CALLERS / 2 }, async (_, index) => {
      const socket = connect({ host: url.hostname, port: Number(url.port) });
      socket.write(formatRequest(url, '/safe/x', `w-${index}`));
      await once(socket, 'data');
      return socket;
    }),
  );
  const before = countRequests();
  gateway.freeze();
  const opened = kept.map(() => connect({ host: url.hostname, port: Number(url.port) }));
  const callers = [...kept, ...opened];
  callers.forEach((socket, index) => {
    socket.on('error', () => undefined);
    socket.write(formatRequest(url, TARGETS[index % TARGETS.length] ?? '', `r-${index}`));
  });
  await wait(GIVE_UP_MS);
  callers.forEach((socket) => socket.destroy());
  gateway.resume();
  await wait(READ_MS);
  const sent = countRequests() - before;
  await gateway.stop();
  await Promise.all([store.stop(), ...servers.map((server) => server.stop())]);
  t.is(sent, 0);
});
