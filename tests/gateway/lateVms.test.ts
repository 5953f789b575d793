import { request as sendRequest, type ClientRequest } from 'node:http';
import { randomInt } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';
import test, { type ExecutionContext } from 'ava';
import { CONFIGURATION_KEY, HEADERS, TABLES } from '../../platform';
import {
  buildWireConfiguration,
  buildWireEntry,
  createStandInServer,
  createStandInStore,
  TEST_KEY,
  type StandInServer,
} from '../../standins/gateway';
import { startGatewayProcess, type GatewayProcess } from './_lib/startGatewayProcess';

const IDLE_TIMEOUT_MS = 600;

/** Time between two signs of the caller; far less than the idle timeout. */
const STEP_MS = 250;

/** Steps for which the VM stands still: longer than the idle timeout. */
const FROZEN_STEPS = 3;

interface LateVm {
  readonly gateway: GatewayProcess;
  readonly server: StandInServer;
  /** Starts a request whose body is sent by the test. */
  startRequest(): ClientRequest;
}

const startLateVm = async (t: ExecutionContext): Promise<LateVm> => {
  const store = await createStandInStore();
  const server = await createStandInServer('i-1');
  store.writeRow(TABLES.servers, server.id, buildWireEntry(server));
  const limits = {
    max_header_bytes: 4096,
    max_body_bytes: 10_000,
    header_timeout_ms: 3000,
    idle_timeout_ms: IDLE_TIMEOUT_MS,
  };
  store.writeRow(TABLES.operator, CONFIGURATION_KEY, buildWireConfiguration({ limits }));
  const gateway = await startGatewayProcess({
    vm: 'vm-1',
    zone: 'z1',
    ip: `127.${randomInt(1, 255)}.${randomInt(0, 255)}.1`,
    seeds: [],
    storeUrl: store.url,
  });
  t.teardown(async () => {
    await gateway.stop();
    await Promise.all([server.stop(), store.stop()]);
  });
  const { hostname, port } = new URL(gateway.callerUrl);
  const headers = {
    host: 'a.example',
    [HEADERS.requestId]: 'request-1',
    [HEADERS.deadlineMs]: '4500',
    [HEADERS.authorization]: `Bearer ${TEST_KEY}`,
  };
  return {
    gateway,
    server,
    startRequest: () =>
      sendRequest({ hostname, port, path: '/stream/x', method: 'POST', headers, agent: false }),
  };
};

/** Stops the VM, lets the caller go on each step, and lets the VM go on. */
const freezeWhile = async (gateway: GatewayProcess, goOn: () => void): Promise<void> => {
  gateway.freeze();
  for (let step = 0; step < FROZEN_STEPS; step += 1) {
    await wait(STEP_MS);
    goOn();
  }
  gateway.resume();
};

// Guards against callers that are disconnected because their VM stood still: what they sent meanwhile
// lies unread when their idle timeout ends, so that they count as stalled.
test('a body that arrives while its VM stands still is no stall', async (t) => {
  const { gateway, server, startRequest } = await startLateVm(t);
  const sent = startRequest();
  const ended = new Promise<string>((resolve) => {
    sent.on('error', ({ message }) => resolve(message));
    sent.on('response', ({ statusCode }) => resolve(`status ${statusCode}`));
  });
  const taken = server.nextRequest().then((request) => {
    server.startStream(request);
    request.response.end();
    return request.body;
  });
  sent.write('1');
  await wait(STEP_MS);
  await freezeWhile(gateway, () => sent.write('2'));
  await wait(STEP_MS);
  sent.end('3');
  t.is(await Promise.race([ended, taken]), '12223');
  t.is(await ended, 'status 200');
});
