// Guards against lookups that are sent to a leaving server: for 13 s lookups went to a server whose
// answers announced that it was leaving. Its entry could not be read during a store outage, and of
// an answer only the load was read.
import test from 'ava';
import { HEADERS, TABLES } from '../../platform';
import { createFakeClock } from '../../standins/fakes';
import { buildWireEntry, type StandInServer } from '../../standins/gateway';
import { buildStreamRequest } from './_lib/buildStreamRequest';
import { callAnyServer } from './_lib/callAnyServer';
import { takeNextRequest } from './_lib/takeNextRequest';
import { sendEvents } from './_lib/sendEvents';
import { sendExpectingRefusal } from './_lib/sendExpectingRefusal';
import { startTestGateway, type TestGateway } from './_lib/startTestGateway';

const LEAVING = { [HEADERS.leaving]: '1' };

/** With this many calls, one of two equal servers gets none in one of a million runs. */
const CALLS = 20;

/** Lists the servers that receive a series of lookups. */
const listUsed = async (harness: TestGateway, name: string): Promise<ReadonlySet<string>> => {
  const used = new Set<string>();
  for (let call = 0; call < CALLS; call += 1) {
    const { id } = await callAnyServer(harness, { id: `${name}-${call}` });
    used.add(id);
  }
  return used;
};

test('a server that announced its leaving in an answer gets no more requests in a store outage', async (t) => {
  const harness = await startTestGateway({ clock: createFakeClock() });
  harness.store.setMode('silent');
  const leaving = await callAnyServer(harness, { id: 'first', headers: LEAVING });
  t.false((await listUsed(harness, 'call')).has(leaving.id));
  const followed = harness.follow(buildStreamRequest());
  const taken = await takeNextRequest(harness.servers);
  t.not(taken.server, leaving);
  sendEvents(taken, 1, 2);
  t.true((await followed.done).isWhole);
  await harness.stop();
});

test('an older entry does not bring a leaving server back', async (t) => {
  const harness = await startTestGateway();
  const leaving = await callAnyServer(harness, { id: 'first', headers: LEAVING });
  harness.store.writeRow(TABLES.servers, leaving.id, null);
  await harness.waitForLine('server gone', ({ server }) => server === leaving.id);
  const known = harness.lines.length;
  harness.store.writeRow(TABLES.servers, leaving.id, buildWireEntry(leaving));
  await harness.waitForLine(
    'rows taken',
    (fields) => harness.lines.indexOf(fields as never) >= known && fields.table === TABLES.servers,
  );
  t.false((await listUsed(harness, 'call')).has(leaving.id));
  await harness.stop();
});

test('a server whose report announces its leaving gets no prompt', async (t) => {
  const harness = await startTestGateway();
  const [leaving] = harness.servers as [StandInServer];
  leaving.leave();
  for (let stream = 0; stream < CALLS; stream += 1) {
    const followed = harness.follow({ ...buildStreamRequest(), id: `stream-${stream}` });
    const taken = await takeNextRequest(harness.servers);
    t.not(taken.server, leaving);
    sendEvents(taken, 1, 2);
    await followed.done;
  }
  await harness.stop();
});

test('the leaving header of a failed answer counts as well', async (t) => {
  const harness = await startTestGateway({ clock: createFakeClock() });
  const answered = harness.send({ target: '/safe/x' });
  const first = await takeNextRequest(harness.servers);
  first.server.answer(first.request, 503, '', { ...LEAVING, [HEADERS.notRun]: '1' });
  const second = await takeNextRequest(harness.servers);
  second.server.answer(second.request, 200, 'yes');
  t.is((await answered).status, 200);
  t.false((await listUsed(harness, 'call')).has(first.server.id));
  await harness.stop();
});

// Guards against requests to a server that asked for a pause: it answers 503 with Retry-After, and
// the refusal must apply to later requests as well.
test('a server that asked for a pause gets no requests until the pause ends', async (t) => {
  const clock = createFakeClock();
  const harness = await startTestGateway({ clock });
  const answered = harness.send({ target: '/safe/x' });
  const first = await takeNextRequest(harness.servers);
  const pause = { [HEADERS.notRun]: '1', [HEADERS.retryAfter]: '2.5' };
  first.server.answer(first.request, 503, '', pause);
  const second = await takeNextRequest(harness.servers);
  second.server.answer(second.request, 200, 'yes');
  await answered;
  clock.advance(2400);
  t.false((await listUsed(harness, 'early')).has(first.server.id));
  clock.advance(101);
  t.true((await listUsed(harness, 'late')).has(first.server.id));
  await harness.stop();
});

test('a refused caller is told when the first pause of the servers ends', async (t) => {
  const clock = createFakeClock();
  const harness = await startTestGateway({ clock });
  const answered = harness.send({ target: '/safe/x' });
  for (const seconds of ['3', '2']) {
    const { request, server } = await takeNextRequest(harness.servers);
    server.answer(request, 503, '', { [HEADERS.notRun]: '1', [HEADERS.retryAfter]: seconds });
  }
  t.is((await answered).status, 503);
  const refused = await sendExpectingRefusal(harness, { target: '/safe/x', id: 'second' });
  t.is(refused?.status, 503);
  t.is(refused?.headers['retry-after'], '2');
  const stream = await sendExpectingRefusal(harness, { ...buildStreamRequest(), id: 'third' });
  t.is(stream?.status, 503);
  t.is(stream?.headers['retry-after'], '2');
  await harness.stop();
});
