import test from 'ava';
import { HEADERS } from '../../platform';
import { createFakeClock } from '../../standins/fakes';
import { buildStreamRequest } from './_lib/buildStreamRequest';
import { countRequests } from './_lib/countRequests';
import { sendEvents } from './_lib/sendEvents';
import { formatEvents } from './_lib/formatEvents';
import { listOtherServers } from './_lib/listOtherServers';
import { startTestGateway } from './_lib/startTestGateway';
import { removeBackup } from './_lib/removeBackup';
import { takeNextRequest } from './_lib/takeNextRequest';

// Guards against waiting for a lost answer: a first event came after 4.7 s, 3.6 s of them spent on
// one server that had lost the answer but kept the connection open and listed the run. A listed run
// that produced events of which none arrived is lost.
test('a run whose server produced events that do not arrive is restarted elsewhere', async (t) => {
  const harness = await startTestGateway();
  const followed = harness.follow(buildStreamRequest());
  const first = await takeNextRequest(harness.servers);
  first.server.recordUnsentEvents(first.request, 5);
  const second = await takeNextRequest(listOtherServers(harness, first.server));
  t.is((await harness.waitForLine('server silent')).cause, 'run lost');
  await first.request.closed;
  sendEvents(second, 1, 2);
  t.is((await followed.done).body, formatEvents(1, 2));
  await harness.stop();
});

// Guards against requests that a server can only refuse, which waste retries: a server dies during
// prefill, and the backup server is asked to resume although the KV cache is copied only from the
// first event on.
test('no server is asked to resume from a copy before the first event', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1', 'i-2', 'i-3'] });
  const followed = harness.follow(buildStreamRequest());
  const first = await takeNextRequest(harness.servers);
  t.truthy(first.request.headers[HEADERS.kvBackup]);
  await first.server.crash();
  const second = await takeNextRequest(listOtherServers(harness, first.server));
  t.is(second.request.headers[HEADERS.kvFrom], undefined);
  sendEvents(second, 1, 2);
  t.is((await followed.done).body, formatEvents(1, 2));
  await harness.stop();
});

// Guards against repeated prefill of a moved run: the backup server is lost, the run is moved, and
// its new server refuses it. The server where it was stopped still holds the KV cache and must not
// count as failed.
test('a moved run that its new server refuses resumes where it was stopped', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1', 'i-2', 'i-3'] });
  const followed = harness.follow(buildStreamRequest());
  const { first } = await removeBackup(harness, followed);
  const second = await takeNextRequest(listOtherServers(harness, first.server));
  second.server.answer(second.request, 503, '', { [HEADERS.notRun]: '1' });
  const third = await takeNextRequest(harness.servers);
  t.is(third.server, first.server);
  t.is(third.request.headers[HEADERS.kvFrom], `${first.server.address}/handle-request-1`);
  t.is(third.request.headers[HEADERS.lastEventId], '3');
  sendEvents(third, 4, 5);
  t.is((await followed.done).body, formatEvents(1, 5));
  await harness.stop();
});

// Guards against moved streams that pause for 400 ms or more and repeat their prefill: the rest of
// the copy queues behind other copies, the silence is treated as a loss, and the partial copy is
// not used.
test('a moved run goes on from the copy that is there when the rest is overdue', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1', 'i-2', 'i-3'] });
  harness.servers.forEach((server) => server.withholdFinalCopies());
  const followed = harness.follow(buildStreamRequest());
  const { first } = await removeBackup(harness, followed);
  const second = await takeNextRequest(listOtherServers(harness, first.server));
  t.is(second.request.headers[HEADERS.kvFrom], `${first.server.address}/handle-request-1`);
  await first.request.closed;
  sendEvents(second, 4, 5);
  t.is((await followed.done).body, formatEvents(1, 5));
  t.deepEqual(
    harness.lines.filter(({ message }) => message === 'server silent'),
    [],
  );
  await harness.stop();
});

// Guards against prefill for a caller that disconnected while servers were asked for their load:
// the state of the stream does not end with its caller.
test('a prompt is not sent once its caller has left', async (t) => {
  const clock = createFakeClock();
  const harness = await startTestGateway({ clock });
  harness.servers.forEach((server) => server.ignoreStatusRequests());
  const asked = harness.servers.map((server) => server.nextStatusRequest());
  const followed = harness.follow(buildStreamRequest());
  await Promise.all(asked);
  followed.disconnect();
  t.is((await harness.waitForLine('stream ended')).outcome, 'left');
  // Only now do the report requests time out.
  clock.advance(150);
  await harness.waitForLine('stream not sent');
  t.is(countRequests(harness), 0);
  await harness.stop();
});

// Guards against a caller that gets 504: it reconnects with 400 ms left, and the prefill takes a
// second.
test('a prompt whose prefill exceeds the remaining time is refused immediately', async (t) => {
  const harness = await startTestGateway();
  const headers = { [HEADERS.lastEventId]: '7', [HEADERS.deadlineMs]: '400' };
  const answer = await harness.send(buildStreamRequest(headers));
  t.is(answer.status, 503);
  t.true(Number(answer.headers['retry-after']) > 0);
  t.is(countRequests(harness), 0);
  await harness.stop();
});
