import test from 'ava';
import { HEADERS, TABLES } from '../../platform';
import { createFakeClock } from '../../standins/fakes';
import { formatStandInEvent, buildWireEntry } from '../../standins/gateway';
import { buildChangedConfiguration } from './_lib/buildChangedConfiguration';
import { buildStreamRequest } from './_lib/buildStreamRequest';
import { countRequests } from './_lib/countRequests';
import { findBackup } from './_lib/findBackup';
import { sendEvents } from './_lib/sendEvents';
import { formatEvents } from './_lib/formatEvents';
import { listOtherServers } from './_lib/listOtherServers';
import { startTestGateway } from './_lib/startTestGateway';
import { removeBackup } from './_lib/removeBackup';
import { takeNextRequest } from './_lib/takeNextRequest';
import { waitForReport } from './_lib/waitForReport';

test('a stream is forwarded event by event with the headers of its server', async (t) => {
  const harness = await startTestGateway();
  const followed = harness.follow(buildStreamRequest());
  const { request, server } = await takeNextRequest(harness.servers);
  server.startStream(request);
  server.sendEvents(request, 1, 1);
  await followed.waitForText(formatStandInEvent(1));
  server.sendEvents(request, 2, 3);
  request.response.end();
  const answer = await followed.done;
  t.is(answer.status, 200);
  t.is(answer.headers[HEADERS.requestId], 'request-1');
  t.is(answer.headers[HEADERS.signature], 'stand-in-stamp');
  t.is(answer.body, formatEvents(1, 3));
  t.true(answer.isWhole);
  await harness.stop();
});

// Guards against a repeated prefill, and its pause, after a server dies in mid-stream although the
// KV cache was copied to another zone.
test('a stream whose server dies resumes from the copy within one complete answer', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1', 'i-2', 'i-3'] });
  const followed = harness.follow(buildStreamRequest());
  const first = await takeNextRequest(harness.servers);
  const backup = String(first.request.headers[HEADERS.kvBackup]);
  t.true(listOtherServers(harness, first.server).some(({ address }) => address === backup));
  first.server.startStream(first.request);
  first.server.sendEvents(first.request, 1, 5);
  // A dying server may stop within an event; an incomplete event is never forwarded.
  first.request.response.write('id: 6\ndata: ha');
  await followed.waitForText(formatStandInEvent(5));
  await first.server.crash();
  const second = await takeNextRequest(listOtherServers(harness, first.server));
  t.is(second.server.address, backup);
  t.is(second.request.headers[HEADERS.kvFrom], `${backup}/request-1`);
  t.is(second.request.headers[HEADERS.lastEventId], '5');
  t.is(second.request.headers[HEADERS.requestId], 'request-1');
  sendEvents(second, 6, 9);
  const answer = await followed.done;
  t.true(answer.isWhole);
  t.is(answer.body, formatEvents(1, 9));
  await harness.stop();
});

// Guards against duplicate events: a resumed run begins with events that the caller already has.
test('events that the caller already has are dropped from a resumed run', async (t) => {
  const harness = await startTestGateway();
  const followed = harness.follow(buildStreamRequest());
  const first = await takeNextRequest(harness.servers);
  first.server.startStream(first.request);
  first.server.sendEvents(first.request, 1, 4);
  await followed.waitForText(formatStandInEvent(4));
  first.request.socket.resetAndDestroy();
  const second = await takeNextRequest(harness.servers);
  sendEvents(second, 3, 6);
  t.is((await followed.done).body, formatEvents(1, 6));
  await harness.stop();
});

// Guards against missing events: a resumed run skips an event, and event ids are not compared.
test('a run that skips an event is not forwarded', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1', 'i-2', 'i-3'] });
  const followed = harness.follow(buildStreamRequest());
  const first = await takeNextRequest(harness.servers);
  first.server.startStream(first.request);
  first.server.sendEvents(first.request, 1, 2);
  first.server.sendEvents(first.request, 4, 4);
  const second = await takeNextRequest(harness.servers);
  t.is(second.request.headers[HEADERS.lastEventId], '2');
  sendEvents(second, 3, 4);
  t.is((await followed.done).body, formatEvents(1, 4));
  await harness.stop();
});

// Guards against two servers that work on one request: a silent server wakes after the stream has
// moved, and its connection is still open.
test('a silent server is abandoned, and its connection closed before the next attempt', async (t) => {
  const harness = await startTestGateway();
  const followed = harness.follow(buildStreamRequest());
  const first = await takeNextRequest(harness.servers);
  first.server.startStream(first.request);
  first.server.sendEvents(first.request, 1, 2);
  await followed.waitForText(formatStandInEvent(2));
  first.server.freeze();
  const second = await takeNextRequest(listOtherServers(harness, first.server));
  await first.request.closed;
  sendEvents(second, 3, 4);
  t.is((await followed.done).body, formatEvents(1, 4));
  t.is((await harness.waitForLine('server silent')).cause, 'no answer');
  await harness.stop();
});

// Guards against a stream that stalls until its deadline: its server loses the answer of the run,
// but keeps the connection open and answers report requests.
test('a run that its server no longer lists is restarted elsewhere', async (t) => {
  const clock = createFakeClock();
  const harness = await startTestGateway({ clock });
  const followed = harness.follow(buildStreamRequest());
  const first = await takeNextRequest(harness.servers);
  // The fake server lists runs by their open answers, so that it no longer lists this run.
  first.request.response.emit('close');
  // With time at a stop, no report is late, however slow the machine is.
  for (const intervalMs of [400, 150]) {
    const report = waitForReport(first.server);
    await clock.advanceAsync(intervalMs);
    await report;
  }
  const second = await takeNextRequest(harness.servers);
  sendEvents(second, 1, 2);
  t.is((await followed.done).body, formatEvents(1, 2));
  t.is((await harness.waitForLine('server silent')).cause, 'run lost');
  await harness.stop();
});

// Guards against a repeated prefill of a stream that outlives its backup server: the backup is
// replaced in mid-stream, then the stream's own server is lost, and no new copy was made.
test('a run whose copy is lost is moved, and gets a new copy', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1', 'i-2', 'i-3'] });
  const followed = harness.follow(buildStreamRequest());
  const { backup, first } = await removeBackup(harness, followed);
  const second = await takeNextRequest(listOtherServers(harness, first.server));
  t.is(second.request.headers[HEADERS.kvFrom], `${first.server.address}/handle-request-1`);
  t.not(second.server, backup);
  sendEvents(second, 4, 5);
  t.is((await followed.done).body, formatEvents(1, 5));
  await harness.stop();
});

// Guards against requests to a leaving server: it holds the copy of a stream whose own server dies,
// and the holder of a copy is preferred in any state.
test('a stream does not resume at a leaving server that holds the copy', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1', 'i-2', 'i-3'] });
  const followed = harness.follow(buildStreamRequest());
  const first = await takeNextRequest(harness.servers);
  const backup = findBackup(harness, first);
  harness.store.writeRow(TABLES.servers, backup.id, buildWireEntry(backup, { state: 'draining' }));
  await harness.waitForLine('server leaving');
  first.request.socket.resetAndDestroy();
  const second = await takeNextRequest(listOtherServers(harness, backup));
  t.not(second.server, backup);
  t.is(second.request.headers[HEADERS.kvFrom], undefined);
  sendEvents(second, 1, 2);
  t.true((await followed.done).isWhole);
  await harness.stop();
});

test('a stream that is not resumable is aborted when its server dies and never looks complete', async (t) => {
  const configuration = buildChangedConfiguration({ route: { resumable: false } });
  const harness = await startTestGateway({ configuration });
  const followed = harness.follow(buildStreamRequest());
  const first = await takeNextRequest(harness.servers);
  first.server.startStream(first.request);
  first.server.sendEvents(first.request, 1, 2);
  await followed.waitForText(formatStandInEvent(2));
  first.request.socket.resetAndDestroy();
  const answer = await followed.done;
  t.false(answer.isWhole);
  t.is(countRequests(harness), 1);
  await harness.stop();
});

test('a caller that reconnects with its last event id gets the later events', async (t) => {
  const harness = await startTestGateway();
  const followed = harness.follow(buildStreamRequest({ [HEADERS.lastEventId]: '7' }));
  const { request, server } = await takeNextRequest(harness.servers);
  t.is(request.headers[HEADERS.lastEventId], '7');
  server.startStream(request);
  server.sendEvents(request, 8, 9);
  request.response.end();
  t.is((await followed.done).body, formatEvents(8, 9));
  await harness.stop();
});

test('a stream that is still running at its deadline is aborted', async (t) => {
  const harness = await startTestGateway();
  const followed = harness.follow(buildStreamRequest({ [HEADERS.deadlineMs]: '2500' }));
  const { request, server } = await takeNextRequest(harness.servers);
  server.startStream(request);
  server.sendEvents(request, 1, 1);
  await followed.waitForText(formatStandInEvent(1));
  t.false((await followed.done).isWhole);
  await request.closed;
  await harness.stop();
});

// Guards against refused streams while all servers are free: a VM is slow for a moment, its report
// requests time out, and a server without a recent report is not chosen.
test('a prompt is sent although no server answered the report requests', async (t) => {
  const harness = await startTestGateway();
  harness.servers.forEach((server) => server.ignoreStatusRequests());
  const followed = harness.follow(buildStreamRequest());
  const { request, server } = await takeNextRequest(harness.servers);
  server.startStream(request);
  server.sendEvents(request, 1, 2);
  request.response.end();
  t.is((await followed.done).body, formatEvents(1, 2));
  await harness.stop();
});
