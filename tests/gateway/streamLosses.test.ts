import test from 'ava';
import { HEADERS } from '../../platform';
import { buildStreamRequest } from './_lib/buildStreamRequest';
import { countRequests } from './_lib/countRequests';
import { sendEvents } from './_lib/sendEvents';
import { formatEvents } from './_lib/formatEvents';
import { listOtherServers } from './_lib/listOtherServers';
import { startTestGateway } from './_lib/startTestGateway';
import { removeBackup } from './_lib/removeBackup';
import { takeNextRequest } from './_lib/takeNextRequest';

// Symptom: a stream has its first event after 4.7 s, of which 3.6 s were waiting for one server.
// Sequence: a server runs the request and loses its answer; the connection stays open, and the
// server lists the run whenever it is asked.
// Cause: a run that is listed counts as sound, although events were made and none arrived.
test('a run of which no event arrives, though its server made some, is begun elsewhere', async (t) => {
  const bench = await startTestGateway();
  const followed = bench.follow(buildStreamRequest());
  const first = await takeNextRequest(bench.servers);
  first.server.recordUnsentEvents(first.request, 5);
  const second = await takeNextRequest(listOtherServers(bench, first.server));
  t.is((await bench.waitForLine('server silent')).cause, 'run lost');
  await first.request.closed;
  sendEvents(second, 1, 2);
  t.is((await followed.done).body, formatEvents(1, 2));
  await bench.stop();
});

// Symptom: a server gets a request that it can only refuse, and the repeats run out sooner.
// Sequence: a server dies while it reads a prompt; the server that was to get its copy is asked to
// go on from it.
// Cause: memory is sent from the first event on; before it there is no copy.
test('no server is asked to go on from a copy before the first event has come', async (t) => {
  const bench = await startTestGateway({ serverIds: ['i-1', 'i-2', 'i-3'] });
  const followed = bench.follow(buildStreamRequest());
  const first = await takeNextRequest(bench.servers);
  t.truthy(first.request.headers[HEADERS.kvBackup]);
  await first.server.crash();
  const second = await takeNextRequest(listOtherServers(bench, first.server));
  t.is(second.request.headers[HEADERS.kvFrom], undefined);
  sendEvents(second, 1, 2);
  t.is((await followed.done).body, formatEvents(1, 2));
  await bench.stop();
});

// Symptom: a run that was moved reads its prompt anew, although its memory is still there.
// Sequence: the server with the copy is lost; the run is moved; the server that it is moved to
// refuses it; the server that it was stopped at keeps its memory.
// Cause: only the new server is tried, and the one before counts as one that failed.
test('a run that its new server refuses goes on where it was stopped', async (t) => {
  const bench = await startTestGateway({ serverIds: ['i-1', 'i-2', 'i-3'] });
  const followed = bench.follow(buildStreamRequest());
  const { first } = await removeBackup(bench, followed);
  const second = await takeNextRequest(listOtherServers(bench, first.server));
  second.server.answer(second.request, 503, '', { [HEADERS.notRun]: '1' });
  const third = await takeNextRequest(bench.servers);
  t.is(third.server, first.server);
  t.is(third.request.headers[HEADERS.kvFrom], `${first.server.address}/handle-request-1`);
  t.is(third.request.headers[HEADERS.lastEventId], '3');
  sendEvents(third, 4, 5);
  t.is((await followed.done).body, formatEvents(1, 5));
  await bench.stop();
});

// Symptom: streams that are moved stand still for 400 ms and more, and read their prompts anew.
// Sequence: a run is stopped to be moved; the rest of its copy queues behind other copies; its
// silence is taken for a loss, and the copy that it had before is gone.
// Cause: the copy that is there already counts only once the rest has arrived.
test('a moved run goes on from the copy that is there when the rest is overdue', async (t) => {
  const bench = await startTestGateway({ serverIds: ['i-1', 'i-2', 'i-3'] });
  bench.servers.forEach((server) => server.withholdFinalCopies());
  const followed = bench.follow(buildStreamRequest());
  const { first } = await removeBackup(bench, followed);
  const second = await takeNextRequest(listOtherServers(bench, first.server));
  t.is(second.request.headers[HEADERS.kvFrom], `${first.server.address}/handle-request-1`);
  await first.request.closed;
  sendEvents(second, 4, 5);
  t.is((await followed.done).body, formatEvents(1, 5));
  t.deepEqual(
    bench.lines.filter(({ message }) => message === 'server silent'),
    [],
  );
  await bench.stop();
});

// Symptom: a server reads a prompt that nobody waits for.
// Sequence: the caller leaves while servers are asked which of them is free.
// Cause: only the state of the stream was looked at, which does not end with its caller.
test('a prompt is not sent once its caller has left', async (t) => {
  const bench = await startTestGateway();
  bench.servers.forEach((server) => server.ignoreStatusRequests());
  const followed = bench.follow(buildStreamRequest());
  const asked = bench.servers.map((server) => server.nextStatusRequest());
  await Promise.all(asked);
  followed.disconnect();
  await bench.waitForLine('stream not sent');
  t.is(countRequests(bench), 0);
  await bench.stop();
});

// Symptom: a caller that comes back shortly before its deadline is held to it, and gets 504.
// Sequence: 400 ms are left; the prompt must be read anew, which takes a second.
// Cause: it is sent all the same.
test('a prompt that cannot be read in the time left is refused at once', async (t) => {
  const bench = await startTestGateway();
  const headers = { [HEADERS.lastEventId]: '7', [HEADERS.deadlineMs]: '400' };
  const answer = await bench.send(buildStreamRequest(headers));
  t.is(answer.status, 503);
  t.true(Number(answer.headers['retry-after']) > 0);
  t.is(countRequests(bench), 0);
  await bench.stop();
});
