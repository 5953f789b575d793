// Guards against streams that crash their servers after the verdict on their request, as they were
// sent before it.
import test from 'ava';
import { buildAttemptLimit } from './_lib/buildAttemptLimit';
import { buildStreamRequest } from './_lib/buildStreamRequest';
import { crashNextServer } from './_lib/crashNextServer';
import { formatEvents } from './_lib/formatEvents';
import { sendEvents } from './_lib/sendEvents';
import { startTestGateway } from './_lib/startTestGateway';
import { takeNextRequest } from './_lib/takeNextRequest';

const SERVER_IDS = ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6'];

/** Status of a request that may have run. */
const LOST_STATUS = 502;

// Guards against streams that go on to crash servers as they wait there: three more servers crashed
// seconds after the verdict, under streams whose callers had a head from an earlier attempt.
test('a stream that waits for its first event is called back when its request is put into quarantine', async (t) => {
  const harness = await startTestGateway({
    serverIds: SERVER_IDS,
    configuration: buildAttemptLimit(5),
  });
  t.teardown(harness.stop);
  const first = harness.follow(buildStreamRequest());
  await crashNextServer(harness);
  const { request } = await takeNextRequest(harness.servers);
  harness.follow({ ...buildStreamRequest(), id: 'request-2' });
  await crashNextServer(harness);
  await crashNextServer(harness);
  await request.closed;
  t.is((await first.done).status, LOST_STATUS);
  // Its deadline, seconds later, ends the stream as well.
  const refused = harness.lines.filter(({ message }) => message === 'request in quarantine');
  t.true(refused.some(({ requestId }) => requestId === 'request-1'));
});

// Guards against copies of a stream that wait at servers while it is checked why three were lost:
// each crashed its server in its turn.
test('a stream that waits for its turn is called back while it is checked why servers were lost', async (t) => {
  const harness = await startTestGateway({
    serverIds: SERVER_IDS,
    configuration: buildAttemptLimit(5),
  });
  t.teardown(harness.stop);
  const waiting = harness.follow(buildStreamRequest());
  const { request } = await takeNextRequest(harness.servers);
  const other = harness.follow({ ...buildStreamRequest(), id: 'request-2' });
  for (let count = 0; count < 3; count += 1) {
    const taken = await takeNextRequest(harness.servers);
    taken.server.startStream(taken.request);
    taken.request.socket.resetAndDestroy();
  }
  await request.closed;
  t.deepEqual(
    harness.lines.filter(({ message }) => message === 'request in quarantine'),
    [],
  );
  // The servers are alive: both streams go on.
  for (let count = 0; count < 2; count += 1)
    sendEvents(await takeNextRequest(harness.servers), 1, 2);
  t.is((await waiting.done).body, formatEvents(1, 2));
  t.is((await other.done).body, formatEvents(1, 2));
});
