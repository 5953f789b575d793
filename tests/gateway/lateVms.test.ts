import { request as sendRequest, type ClientRequest } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';
import test from 'ava';
import { HEADERS } from '../../platform';
import { TEST_KEY } from '../../standins/gateway';
import type { GatewayProcess } from './_lib/startGatewayProcess';
import { startLoneGateway } from './_lib/startLoneGateway';

const IDLE_TIMEOUT_MS = 600;

/** Time between two signs of the caller; far less than the idle timeout. */
const STEP_MS = 250;

/** Steps for which the VM stands still: longer than the idle timeout. */
const FROZEN_STEPS = 3;

const LIMITS = {
  max_header_bytes: 4096,
  max_body_bytes: 10_000,
  header_timeout_ms: 3000,
  idle_timeout_ms: IDLE_TIMEOUT_MS,
};

/** Starts a request whose body is sent by the test. */
const startRequest = ({ callerUrl }: GatewayProcess): ClientRequest => {
  const { hostname, port } = new URL(callerUrl);
  const headers = {
    host: 'a.example',
    [HEADERS.requestId]: 'request-1',
    [HEADERS.deadlineMs]: '4500',
    [HEADERS.authorization]: `Bearer ${TEST_KEY}`,
  };
  return sendRequest({ hostname, port, path: '/stream/x', method: 'POST', headers, agent: false });
};

/** Stops the VM, lets the caller go on each step, and lets the VM go on. */
const runFrozen = async (gateway: GatewayProcess, goOn: () => void): Promise<void> => {
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
  const { gateway, server, stop } = await startLoneGateway({ limits: LIMITS });
  t.teardown(stop);
  const sent = startRequest(gateway);
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
  await runFrozen(gateway, () => sent.write('2'));
  await wait(STEP_MS);
  sent.end('3');
  t.is(await Promise.race([ended, taken]), '12223');
  t.is(await ended, 'status 200');
});
