import { connect } from 'node:net';
import { once } from 'node:events';
import test from 'ava';
import { HEADERS } from '../../platform';
import { createFakeClock } from '../../standins/fakes';
import { TEST_KEY } from '../../standins/gateway';
import { startTestGateway } from './_lib/startTestGateway';
import { takeNextRequest } from './_lib/takeNextRequest';

const LARGE_ANSWER = 'a'.repeat(7_000_000);

/** Together their answers are larger than what the buffers of both hosts hold. */
const PIPELINED_IDS = ['request-1', 'request-2', 'request-3'];

// Guards against answers that are cut off while their callers still read them.
test('a process exits only after callers have read their answers', async (t) => {
  t.timeout(30_000);
  const clock = createFakeClock();
  const harness = await startTestGateway({ clock });
  const { hostname, port } = new URL(harness.gateway.callerUrl);
  const caller = connect(Number(port), hostname);
  t.teardown(async () => {
    caller.destroy();
    await harness.stop();
  });
  const authorization = `${HEADERS.authorization}: Bearer ${TEST_KEY}`;
  PIPELINED_IDS.forEach((id) =>
    caller.write(
      `GET /safe/x HTTP/1.1\r\nHost: a.example\r\n${HEADERS.requestId}: ${id}\r\n${authorization}\r\n\r\n`,
    ),
  );
  for (const id of PIPELINED_IDS) {
    const { request, server } = await takeNextRequest(harness.servers);
    server.answer(request, 200, LARGE_ANSWER);
    await harness.waitForLine('call ended', ({ requestId }) => requestId === id);
  }
  let isDrained = false;
  const drained = harness.gateway.drain().then(() => {
    isDrained = true;
  });
  await clock.advanceAsync(3000);
  t.false(isDrained);
  caller.resume();
  while (caller.bytesRead < PIPELINED_IDS.length * LARGE_ANSWER.length) await once(caller, 'data');
  await clock.advanceAsync(500);
  await drained;
});
