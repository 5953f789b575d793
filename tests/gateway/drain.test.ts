import { connect } from 'node:net';
import { once } from 'node:events';
import test from 'ava';
import { HEADERS } from '../../platform';
import { createFakeClock } from '../../standins/fakes';
import { TEST_KEY } from '../../standins/gateway';
import { buildChangedConfiguration } from './_lib/buildChangedConfiguration';
import { countRequests } from './_lib/countRequests';
import { startTestGateway } from './_lib/startTestGateway';
import { takeNextRequest } from './_lib/takeNextRequest';

// Guards against a call that was read but gets no answer: after SIGTERM a caller sends a call on
// its kept connection just before the process exits. Calls must be refused early enough.
test('calls are accepted until the exit of the process might interrupt them, then refused', async (t) => {
  const clock = createFakeClock();
  const harness = await startTestGateway({ clock });
  const drained = harness.gateway.drain();
  await clock.advanceAsync(2400);
  // A long call keeps the process alive.
  const longDeadline = { [HEADERS.deadlineMs]: '20000' };
  const long = harness.send({
    target: '/unsafe/x',
    body: '1',
    id: 'request-1',
    headers: longDeadline,
  });
  const first = await takeNextRequest(harness.servers);
  await clock.advanceAsync(3000);
  const late = harness.send({
    target: '/unsafe/x',
    body: '1',
    id: 'request-2',
    headers: { [HEADERS.deadlineMs]: '2000' },
  });
  const second = await takeNextRequest(harness.servers);
  await clock.advanceAsync(200);
  const refused = await harness.send({ target: '/unsafe/x', body: '1', id: 'request-3' });
  t.is(refused.status, 503);
  t.is(refused.headers.connection, 'close');
  t.true(Number(refused.headers['retry-after']) > 0);
  first.server.answer(first.request, 200, 'done');
  second.server.answer(second.request, 200, 'done');
  t.is((await long).body, 'done');
  t.is((await late).body, 'done');
  await clock.advanceAsync(100);
  await drained;
  t.is(countRequests(harness), 2);
  await harness.stop();
});

// Guards against a stream that the exit of the process interrupts: it begins two seconds after
// SIGTERM and would last for six. Streams must be refused earlier than calls.
test('streams that would outlive the process are refused while calls are still accepted', async (t) => {
  const clock = createFakeClock();
  const harness = await startTestGateway({ clock });
  const drained = harness.gateway.drain();
  await clock.advanceAsync(1600);
  const refused = await harness.send({ target: '/stream/x', body: 'a prompt', id: 'request-1' });
  t.is(refused.status, 503);
  const taken = harness.send({ target: '/safe/x', id: 'request-2' });
  const { request, server } = await takeNextRequest(harness.servers);
  server.answer(request, 200, 'done');
  t.is((await taken).status, 200);
  await clock.advanceAsync(1000);
  await drained;
  await harness.stop();
});

/** A configuration whose routes let requests run for longer than a process takes to exit. */
const buildLongRoutes = (change: object = {}): object =>
  buildChangedConfiguration({ route: { timeout_ms: 25_000, ...change } });

// Guards against a call that runs and gets no answer: it is taken late after SIGTERM, may last for
// its whole deadline, and the process exits before.
test('a call whose deadline is after the exit of the process is refused', async (t) => {
  const clock = createFakeClock();
  const harness = await startTestGateway({ clock });
  const drained = harness.gateway.drain();
  await clock.advanceAsync(4000);
  const refused = await harness.send({ target: '/unsafe/x', body: '1' });
  t.is(refused.status, 503);
  t.is(countRequests(harness), 0);
  await clock.advanceAsync(200);
  await drained;
  await harness.stop();
});

// Guards against a call that runs and gets no answer: it was taken before SIGTERM, and its route lets
// it last for longer than the process takes to exit.
test('a call that still runs when the process exits is answered', async (t) => {
  const clock = createFakeClock();
  const harness = await startTestGateway({ clock, configuration: buildLongRoutes() });
  const answered = harness.send({
    target: '/unsafe/x',
    body: '1',
    headers: { [HEADERS.deadlineMs]: '20000' },
  });
  await takeNextRequest(harness.servers);
  const drained = harness.gateway.drain();
  await clock.advanceAsync(8000);
  await drained;
  await harness.stop();
  t.is((await answered).status, 502);
});

// Guards against a stream that is cut off and can't go on elsewhere.
test('a stream that may not be resumed is refused if it may last beyond the exit', async (t) => {
  const clock = createFakeClock();
  const configuration = buildLongRoutes({ resumable: false });
  const harness = await startTestGateway({ clock, configuration });
  const drained = harness.gateway.drain();
  await clock.advanceAsync(100);
  const refused = await harness.send({
    target: '/stream/x',
    body: 'a prompt',
    headers: { [HEADERS.deadlineMs]: '20000' },
  });
  t.is(refused.status, 503);
  await clock.advanceAsync(3000);
  await drained;
  await harness.stop();
});

const LARGE_ANSWER = 'a'.repeat(7_000_000);

/** Together their answers are larger than what the buffers of both hosts hold. */
const PIPELINED_IDS = ['request-1', 'request-2', 'request-3'];

// Guards against answers that are cut off while their callers still read them.
test('a process exits only after callers have read their answers', async (t) => {
  const clock = createFakeClock();
  const harness = await startTestGateway({ clock });
  const { hostname, port } = new URL(harness.gateway.callerUrl);
  const caller = connect(Number(port), hostname);
  const authorization = `${HEADERS.authorization}: Bearer ${TEST_KEY}`;
  PIPELINED_IDS.forEach((id) =>
    caller.write(
      `GET /safe/x HTTP/1.1\r\nHost: a.example\r\n${HEADERS.requestId}: ${id}\r\n${authorization}\r\n\r\n`,
    ),
  );
  for (let answered = 0; answered < PIPELINED_IDS.length; answered += 1) {
    // They reach the servers in any order.
    const { request, server } = await takeNextRequest(harness.servers);
    const id = request.headers[HEADERS.requestId];
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
  caller.destroy();
  await harness.stop();
});
