import test from 'ava';
import { HEADERS, TABLES } from '../../platform';
import { formatStandInEvent, buildWireConfiguration, buildWireEntry } from '../../standins/gateway';
import { buildStreamRequest } from './_lib/buildStreamRequest';
import { countRequests } from './_lib/countRequests';
import { findBackup } from './_lib/findBackup';
import { sendEvents } from './_lib/sendEvents';
import { formatEvents } from './_lib/formatEvents';
import { listOtherServers } from './_lib/listOtherServers';
import { startTestGateway } from './_lib/startTestGateway';
import { removeBackup } from './_lib/removeBackup';
import { takeNextRequest } from './_lib/takeNextRequest';

test('a stream is handed on event by event, with the head of its server', async (t) => {
  const bench = await startTestGateway();
  const followed = bench.follow(buildStreamRequest());
  const { request, server } = await takeNextRequest(bench.servers);
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
  await bench.stop();
});

// Symptom: a stream whose server dies pauses for as long as its prompt takes to read, or is lost.
// Sequence: a server dies in mid-stream; its run's memory is copied to another zone.
// Cause: the next attempt reads the prompt anew.
test('a stream goes on from the copy when its server dies, in one whole answer', async (t) => {
  const bench = await startTestGateway({ serverIds: ['i-1', 'i-2', 'i-3'] });
  const followed = bench.follow(buildStreamRequest());
  const first = await takeNextRequest(bench.servers);
  const backup = String(first.request.headers[HEADERS.kvBackup]);
  t.true(listOtherServers(bench, first.server).some(({ address }) => address === backup));
  first.server.startStream(first.request);
  first.server.sendEvents(first.request, 1, 5);
  // A server that dies may stop within an event: what has no end is never handed on.
  first.request.response.write('id: 6\ndata: ha');
  await followed.waitForText(formatStandInEvent(5));
  await first.server.crash();
  const second = await takeNextRequest(listOtherServers(bench, first.server));
  t.is(second.server.address, backup);
  t.is(second.request.headers[HEADERS.kvFrom], `${backup}/request-1`);
  t.is(second.request.headers[HEADERS.lastEventId], '5');
  t.is(second.request.headers[HEADERS.requestId], 'request-1');
  sendEvents(second, 6, 9);
  const answer = await followed.done;
  t.true(answer.isWhole);
  t.is(answer.body, formatEvents(1, 9));
  await bench.stop();
});

// Symptom: pieces come twice.
// Sequence: the run that goes on begins with events that the caller has already.
// Cause: they are handed on as they come.
test('events that the caller has already are left out of a run that goes on', async (t) => {
  const bench = await startTestGateway();
  const followed = bench.follow(buildStreamRequest());
  const first = await takeNextRequest(bench.servers);
  first.server.startStream(first.request);
  first.server.sendEvents(first.request, 1, 4);
  await followed.waitForText(formatStandInEvent(4));
  first.request.socket.resetAndDestroy();
  const second = await takeNextRequest(bench.servers);
  sendEvents(second, 3, 6);
  t.is((await followed.done).body, formatEvents(1, 6));
  await bench.stop();
});

// Symptom: a piece is missing.
// Sequence: the run that goes on leaves an event out.
// Cause: ids are not compared with the one before.
test('a run that leaves an event out is not handed on', async (t) => {
  const bench = await startTestGateway({ serverIds: ['i-1', 'i-2', 'i-3'] });
  const followed = bench.follow(buildStreamRequest());
  const first = await takeNextRequest(bench.servers);
  first.server.startStream(first.request);
  first.server.sendEvents(first.request, 1, 2);
  first.server.sendEvents(first.request, 4, 4);
  const second = await takeNextRequest(bench.servers);
  t.is(second.request.headers[HEADERS.lastEventId], '2');
  sendEvents(second, 3, 4);
  t.is((await followed.done).body, formatEvents(1, 4));
  await bench.stop();
});

// Symptom: two servers work on one request.
// Sequence: a server falls silent; the stream goes on elsewhere; the first one wakes.
// Cause: its connection is still open.
test('a silent server is given up, and its connection closed before the next one is asked', async (t) => {
  const bench = await startTestGateway();
  const followed = bench.follow(buildStreamRequest());
  const first = await takeNextRequest(bench.servers);
  first.server.startStream(first.request);
  first.server.sendEvents(first.request, 1, 2);
  await followed.waitForText(formatStandInEvent(2));
  first.server.freeze();
  const second = await takeNextRequest(listOtherServers(bench, first.server));
  await first.request.closed;
  sendEvents(second, 3, 4);
  t.is((await followed.done).body, formatEvents(1, 4));
  t.is((await bench.waitForLine('server silent')).cause, 'no answer');
  await bench.stop();
});

// Symptom: a stream stands still for the whole of its deadline.
// Sequence: a server loses the answer of a run, but keeps its connection open and answers questions.
// Cause: only a closed connection, or a server that answers nothing, counts as a loss.
test('a run that its server no longer has is begun elsewhere', async (t) => {
  const bench = await startTestGateway();
  const followed = bench.follow(buildStreamRequest());
  const first = await takeNextRequest(bench.servers);
  // The stand-in lists runs by their open answers: this one is forgotten.
  first.request.response.emit('close');
  const second = await takeNextRequest(bench.servers);
  sendEvents(second, 1, 2);
  t.is((await followed.done).body, formatEvents(1, 2));
  t.is((await bench.waitForLine('server silent')).cause, 'run lost');
  await bench.stop();
});

// Symptom: a stream that outlives its backup server reads its prompt anew when its own is lost.
// Sequence: the server with the copy is replaced while the stream runs.
// Cause: a copy is made only when a stream begins.
test('a run whose copy is lost is moved, and gets a new copy', async (t) => {
  const bench = await startTestGateway({ serverIds: ['i-1', 'i-2', 'i-3'] });
  const followed = bench.follow(buildStreamRequest());
  const { backup, first } = await removeBackup(bench, followed);
  const second = await takeNextRequest(listOtherServers(bench, first.server));
  t.is(second.request.headers[HEADERS.kvFrom], `${first.server.address}/handle-request-1`);
  t.not(second.server, backup);
  sendEvents(second, 4, 5);
  t.is((await followed.done).body, formatEvents(1, 5));
  await bench.stop();
});

// Symptom: a request reaches a server seconds after it said that it leaves.
// Sequence: the server that holds a copy is leaving; the stream's own server dies.
// Cause: the holder of a copy goes before all others, whatever its state.
test('a stream does not go on at a leaving server, although it holds the copy', async (t) => {
  const bench = await startTestGateway({ serverIds: ['i-1', 'i-2', 'i-3'] });
  const followed = bench.follow(buildStreamRequest());
  const first = await takeNextRequest(bench.servers);
  const backup = findBackup(bench, first);
  bench.store.writeRow(TABLES.servers, backup.id, buildWireEntry(backup, { state: 'draining' }));
  await bench.waitForLine('server leaving');
  first.request.socket.resetAndDestroy();
  const second = await takeNextRequest(listOtherServers(bench, backup));
  t.not(second.server, backup);
  t.is(second.request.headers[HEADERS.kvFrom], undefined);
  sendEvents(second, 1, 2);
  t.true((await followed.done).isWhole);
  await bench.stop();
});

test('a stream that may not be resumed is broken off when its server dies, and never looks whole', async (t) => {
  const [base] = [buildWireConfiguration() as { routes: object[] }];
  const routes = base.routes.map((route) => ({ ...route, resumable: false }));
  const bench = await startTestGateway({ configuration: { routes } });
  const followed = bench.follow(buildStreamRequest());
  const first = await takeNextRequest(bench.servers);
  first.server.startStream(first.request);
  first.server.sendEvents(first.request, 1, 2);
  await followed.waitForText(formatStandInEvent(2));
  first.request.socket.resetAndDestroy();
  const answer = await followed.done;
  t.false(answer.isWhole);
  t.is(countRequests(bench), 1);
  await bench.stop();
});

test('a caller that comes back with its last event id gets the events after it', async (t) => {
  const bench = await startTestGateway();
  const followed = bench.follow(buildStreamRequest({ [HEADERS.lastEventId]: '7' }));
  const { request, server } = await takeNextRequest(bench.servers);
  t.is(request.headers[HEADERS.lastEventId], '7');
  server.startStream(request);
  server.sendEvents(request, 8, 9);
  request.response.end();
  t.is((await followed.done).body, formatEvents(8, 9));
  await bench.stop();
});

test('a stream that is still running at its deadline is broken off', async (t) => {
  const bench = await startTestGateway();
  const followed = bench.follow(buildStreamRequest({ [HEADERS.deadlineMs]: '2500' }));
  const { request, server } = await takeNextRequest(bench.servers);
  server.startStream(request);
  server.sendEvents(request, 1, 1);
  await followed.waitForText(formatStandInEvent(1));
  t.false((await followed.done).isWhole);
  await request.closed;
  await bench.stop();
});

// Symptom: streams are refused although all servers are free.
// Sequence: a VM is slow for a moment, so that its questions to the servers time out.
// Cause: a server that was not heard in time is not chosen, and none was heard.
test('a prompt is sent although no server answered the questions before it', async (t) => {
  const bench = await startTestGateway();
  bench.servers.forEach((server) => server.ignoreStatusRequests());
  const followed = bench.follow(buildStreamRequest());
  const { request, server } = await takeNextRequest(bench.servers);
  server.startStream(request);
  server.sendEvents(request, 1, 2);
  request.response.end();
  t.is((await followed.done).body, formatEvents(1, 2));
  await bench.stop();
});
