import test from 'ava';
import { HEADERS } from '../../platform';
import { createFakeClock } from '../../standins/fakes';
import { countRequests } from './_lib/countRequests';
import { startTestGateway } from './_lib/startTestGateway';
import { takeNextRequest } from './_lib/takeNextRequest';

// Symptom: a caller's connection ends without an answer although its call was read.
// Sequence: SIGTERM; a caller keeps its connection, and sends a call just before the process ends.
// Cause: calls are taken until the very end, and the last ones are cut off by it.
test('calls are taken until they might be cut off by the end of the process, then refused', async (t) => {
  const clock = createFakeClock();
  const bench = await startTestGateway({ clock });
  const drained = bench.gateway.drain();
  await clock.advanceAsync(2400);
  // A call that takes long keeps the process alive.
  const patient = { [HEADERS.deadlineMs]: '20000' };
  const long = bench.send({ target: '/unsafe/x', body: '1', id: 'request-1', headers: patient });
  const first = await takeNextRequest(bench.servers);
  await clock.advanceAsync(3000);
  const late = bench.send({ target: '/unsafe/x', body: '1', id: 'request-2' });
  const second = await takeNextRequest(bench.servers);
  await clock.advanceAsync(200);
  const refused = await bench.send({ target: '/unsafe/x', body: '1', id: 'request-3' });
  t.is(refused.status, 503);
  t.is(refused.headers.connection, 'close');
  t.true(Number(refused.headers['retry-after']) > 0);
  first.server.answer(first.request, 200, 'done');
  second.server.answer(second.request, 200, 'done');
  t.is((await long).body, 'done');
  t.is((await late).body, 'done');
  await clock.advanceAsync(100);
  await drained;
  t.is(countRequests(bench), 2);
  await bench.stop();
});

// Symptom: a stream is broken off by the end of the process, and its caller must begin anew.
// Sequence: SIGTERM; a stream begins two seconds later, and would last for six.
// Cause: streams are taken for as long as calls are.
test('streams that would outlive the process are refused while calls are still taken', async (t) => {
  const clock = createFakeClock();
  const bench = await startTestGateway({ clock });
  const drained = bench.gateway.drain();
  await clock.advanceAsync(1600);
  const refused = await bench.send({ target: '/stream/x', body: 'a prompt', id: 'request-1' });
  t.is(refused.status, 503);
  const taken = bench.send({ target: '/safe/x', id: 'request-2' });
  const { request, server } = await takeNextRequest(bench.servers);
  server.answer(request, 200, 'done');
  t.is((await taken).status, 200);
  await clock.advanceAsync(1000);
  await drained;
  await bench.stop();
});
