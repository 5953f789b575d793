import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import test from 'ava';
import { HEADERS, TABLES } from '../../platform';
import { buildWireConfiguration, buildWireEntry, type StandInServer } from '../../standins/gateway';
import { createSystemClock } from '../../src/adapters/system';
import { buildStreamRequest } from './_lib/buildStreamRequest';
import { startTestGateway, type TestGateway } from './_lib/startTestGateway';

const BODY = 'x'.repeat(3_000_000);
const LIMITS = {
  max_header_bytes: 4096,
  max_body_bytes: 4_000_000,
  header_timeout_ms: 3000,
  idle_timeout_ms: 5000,
};
const SAMPLE_INTERVAL_MS = 250;
const MEMORY_BYTES = 160 * 1024 * 1024;

/** Reads the value of a metric without labels. */
const readMetric = async ({ gateway }: TestGateway, name: string): Promise<number> => {
  const text = await (await fetch(`${gateway.metricsUrl}/metrics`)).text();
  return Number(new RegExp(`^${name} (.*)$`, 'm').exec(text)?.[1]);
};

const waitUntilNothingIsHeld = async (gateway: TestGateway): Promise<void> => {
  while ((await readMetric(gateway, 'jackdaw_held_bytes')) !== 0);
};

// Guards against bodies that stay in memory for a server that reads nothing of them.
test.serial('a server that reads no body holds its bytes until the deadline only', async (t) => {
  const sockets: Socket[] = [];
  const stalled = createServer({ pauseOnConnect: true }, (socket) => {
    socket.on('error', () => undefined);
    sockets.push(socket);
  }).listen(0, '127.0.0.1');
  await once(stalled, 'listening');
  const gateway = await startTestGateway({
    serverIds: [],
    configuration: { limits: LIMITS },
    settings: { memoryBytes: MEMORY_BYTES },
  });
  const address = `127.0.0.1:${(stalled.address() as AddressInfo).port}`;
  const entry = buildWireEntry({ address });
  gateway.store.writeRow(TABLES.servers, 'stalled', entry);
  await gateway.waitForLine('server known');
  const call = gateway.follow({
    target: '/unsafe/x',
    body: BODY,
    headers: { [HEADERS.deadlineMs]: '3000' },
  });
  await Promise.race([gateway.waitForLine('call sent'), call.done]);
  t.true((await readMetric(gateway, 'jackdaw_held_bytes')) > BODY.length);
  t.true([502, 504].includes((await call.done).status));
  await waitUntilNothingIsHeld(gateway);
  sockets.forEach((socket) => socket.destroy());
  stalled.close();
  await gateway.stop();
});

// Guards against a stream event without end, which filled the memory until the deadline.
test.serial('an event that never ends is not read on', async (t) => {
  const gateway = await startTestGateway({ settings: { memoryBytes: MEMORY_BYTES } });
  const caller = gateway.follow(buildStreamRequest());
  const line = await gateway.waitForLine('stream sent');
  const server = gateway.servers.find(({ id }) => id === line.server) as StandInServer;
  const request = await server.nextRequest();
  server.startStream(request);
  request.response.write(`id: 1\ndata: ${'x'.repeat(2_000_000)}`);
  const { bytes } = await gateway.waitForLine('stream event too long');
  t.true(Number(bytes) < 1_200_000);
  await request.closed;
  caller.disconnect();
  await gateway.stop();
});

// Guards against a change for deployments whose settings state no memory: the same load, refused
// with the setting, is taken without it.
for (const [name, memoryBytes, refused] of [
  ['with the memory in the settings', MEMORY_BYTES, true],
  ['without it: none', null, false],
] as const) {
  test.serial(`streams with many large bodies at once are refused in part ${name}`, async (t) => {
    const gateway = await startTestGateway({
      configuration: { ...buildWireConfiguration(), limits: LIMITS },
      settings: { memoryBytes },
    });
    gateway.servers.forEach((server) => server.freeze());
    const callers = Array.from({ length: 30 }, (_, index) =>
      gateway.follow({ ...buildStreamRequest(), id: `request-${index}`, body: BODY }),
    );
    if (refused) {
      await gateway.waitForLine('gateway overloaded', ({ cause }) => cause === 'memory');
      t.true((await readMetric(gateway, 'jackdaw_held_bytes')) < MEMORY_BYTES * 0.3);
    } else {
      while ((await readMetric(gateway, 'jackdaw_held_bytes')) < 30 * BODY.length);
    }
    callers.forEach((caller) => caller.disconnect());
    await waitUntilNothingIsHeld(gateway);
    t.is(
      gateway.lines.some(({ reason }) => reason === 'this VM holds too many bytes of requests'),
      refused,
    );
    t.is(
      gateway.lines.some(({ message }) => message === 'gateway recovered'),
      refused,
    );
    await gateway.stop();
  });
}

/** Builds a configuration in which another service has streams of two priorities. */
const buildScheduledConfiguration = (): object => {
  const { routes, services } = buildWireConfiguration() as { routes: object[]; services: object[] };
  const name = 'other';
  const addRoute = (priority: number): object => ({
    ...routes.at(-1),
    name: `${name}-${priority}`,
    prefix: `/${name}-${priority}/`,
    service: name,
    priority,
  });
  return {
    routes: [...routes, addRoute(0), addRoute(2)],
    services: [...services, { ...services[0], name }],
  };
};

// Guards against a VM that takes every stream although all of its timers are late.
test.serial(
  'a VM whose event loop is late refuses new streams but no call, resumed or returning stream',
  async (t) => {
    const clock = createSystemClock();
    const gateway = await startTestGateway({
      configuration: buildScheduledConfiguration(),
      clock: {
        ...clock,
        // Samples of the delay are late by half a second, as on a VM without processor time.
        startTimer: (delayMs, callback) =>
          clock.startTimer(delayMs === SAMPLE_INTERVAL_MS ? delayMs + 500 : delayMs, callback),
      },
    });
    const running = gateway.follow(buildStreamRequest());
    await gateway.waitForLine('gateway overloaded', ({ cause }) => cause === 'loop-delay');
    const send = (id: string, headers: Readonly<Record<string, string>>) =>
      gateway.follow({ ...buildStreamRequest(headers), id });
    const sendAll = (name: string, headers: Readonly<Record<string, string>>) =>
      Array.from({ length: 40 }, (_, index) => send(`${name}-${index}`, headers));
    const callers = [
      ...sendAll('new', {}),
      ...sendAll('resumed', { [HEADERS.lastEventId]: '5' }),
      ...sendAll('returning', { [HEADERS.deadlineMs]: '1000' }),
    ];
    const call = gateway.follow({ target: '/safe/x', id: 'call' });
    await Promise.race([gateway.waitForLine('call sent'), call.done]);
    t.true(gateway.lines.some(({ message }) => message === 'call sent'));
    const isSent = (id: string) =>
      gateway.waitForLine('stream sent', (line) => line.requestId === id);
    await isSent('resumed-39');
    const refused = gateway.lines
      .filter(({ reason }) => reason === 'this VM is slow')
      .map(({ requestId }) => String(requestId));
    t.true(refused.length > 5 && refused.length < 40);
    t.true(refused.every((id) => id.startsWith('new-')));
    [running, call, ...callers].forEach((caller) => caller.disconnect());
    await gateway.waitForLine('gateway recovered');
    await gateway.stop();
  },
);
