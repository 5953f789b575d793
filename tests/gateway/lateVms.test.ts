import { request as sendRequest } from 'node:http';
import { once } from 'node:events';
import { setTimeout as wait } from 'node:timers/promises';
import test from 'ava';
import { HEADERS } from '../../platform';
import { buildWireConfiguration, TEST_KEY } from '../../standins/gateway';
import { startTestGateway } from './_lib/startTestGateway';
import { takeNextRequest } from './_lib/takeNextRequest';

const IDLE_TIMEOUT_MS = 600;

const PART_INTERVAL_MS = 200;

const LIMITS = {
  max_header_bytes: 4096,
  max_body_bytes: 10_000,
  header_timeout_ms: 3000,
  idle_timeout_ms: IDLE_TIMEOUT_MS,
};

/** Lets the whole process stand still, as a VM without processor time. */
const standStill = (durationMs: number): void => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
};

// Guards against callers that are disconnected because this VM stood still: what they sent meanwhile
// lies unread when their idle timeout ends, so that they count as stalled.
test('a body that arrives while this VM stands still is no stall', async (t) => {
  const harness = await startTestGateway({
    configuration: buildWireConfiguration({ limits: LIMITS }),
  });
  t.teardown(harness.stop);
  const { hostname, port } = new URL(harness.gateway.callerUrl);
  const sent = sendRequest({
    hostname,
    port,
    path: '/stream/x',
    method: 'POST',
    headers: {
      host: 'a.example',
      [HEADERS.requestId]: 'request-1',
      [HEADERS.deadlineMs]: '4000',
      [HEADERS.authorization]: `Bearer ${TEST_KEY}`,
    },
    agent: false,
  });
  const ended = new Promise<string>((resolve) => {
    sent.on('error', ({ message }) => resolve(message));
    sent.on('response', ({ statusCode }) => resolve(`status ${statusCode}`));
  });
  sent.write('the first part');
  await once(sent, 'socket');
  await wait(PART_INTERVAL_MS);
  sent.end('the rest', () => standStill(IDLE_TIMEOUT_MS + PART_INTERVAL_MS));
  const taken = takeNextRequest(harness.servers).then(({ request, server }) => {
    server.startStream(request);
    request.response.end();
    return request.body;
  });
  t.is(await Promise.race([ended, taken]), 'the first partthe rest');
  t.is(await ended, 'status 200');
  t.false(harness.lines.some(({ message }) => message === 'caller stalled'));
});
