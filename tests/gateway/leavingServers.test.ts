// Symptom: lookups go on to a server for 13 s after its answers began to say that it leaves.
// Sequence: the store answers nobody; the server's entry, which would say so, is not read.
// Cause: what an answer says of its server, besides its load, is not read.
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

/** Enough that one of two equal servers gets none by chance once in a million runs. */
const CALLS = 20;

/** Servers that lookups one after the other arrive at. */
const listUsed = async (bench: TestGateway, name: string): Promise<ReadonlySet<string>> => {
  const used = new Set<string>();
  for (let call = 0; call < CALLS; call += 1) {
    const { id } = await callAnyServer(bench, { id: `${name}-${call}` });
    used.add(id);
  }
  return used;
};

test('a server that said in an answer that it leaves gets nothing more while the store is away', async (t) => {
  const bench = await startTestGateway({ clock: createFakeClock() });
  bench.store.setMode('silent');
  const leaving = await callAnyServer(bench, { id: 'first', headers: LEAVING });
  t.false((await listUsed(bench, 'call')).has(leaving.id));
  const followed = bench.follow(buildStreamRequest());
  const taken = await takeNextRequest(bench.servers);
  t.not(taken.server, leaving);
  sendEvents(taken, 1, 2);
  t.true((await followed.done).isWhole);
  await bench.stop();
});

test('an entry that was written before does not bring a server back that leaves', async (t) => {
  const bench = await startTestGateway();
  const leaving = await callAnyServer(bench, { id: 'first', headers: LEAVING });
  bench.store.writeRow(TABLES.servers, leaving.id, null);
  await bench.waitForLine('server gone', ({ server }) => server === leaving.id);
  const known = bench.lines.length;
  bench.store.writeRow(TABLES.servers, leaving.id, buildWireEntry(leaving));
  await bench.waitForLine(
    'rows taken',
    (fields) => bench.lines.indexOf(fields as never) >= known && fields.table === TABLES.servers,
  );
  t.false((await listUsed(bench, 'call')).has(leaving.id));
  await bench.stop();
});

test('a server whose report says that it leaves gets no prompt', async (t) => {
  const bench = await startTestGateway();
  const [leaving] = bench.servers as [StandInServer];
  leaving.leave();
  for (let stream = 0; stream < CALLS; stream += 1) {
    const followed = bench.follow({ ...buildStreamRequest(), id: `stream-${stream}` });
    const taken = await takeNextRequest(bench.servers);
    t.not(taken.server, leaving);
    sendEvents(taken, 1, 2);
    await followed.done;
  }
  await bench.stop();
});

test('a failure that bears the word of leaving counts as well', async (t) => {
  const bench = await startTestGateway({ clock: createFakeClock() });
  const answered = bench.send({ target: '/safe/x' });
  const first = await takeNextRequest(bench.servers);
  first.server.answer(first.request, 503, '', { ...LEAVING, [HEADERS.notRun]: '1' });
  const second = await takeNextRequest(bench.servers);
  second.server.answer(second.request, 200, 'yes');
  t.is((await answered).status, 200);
  t.false((await listUsed(bench, 'call')).has(first.server.id));
  await bench.stop();
});

// Symptom: a server that asked for a pause is asked again and again.
// Sequence: it turns a request away with 503 and Retry-After, and is free when the next one comes.
// Cause: a refusal counts for the one request only.
test('a server that asked for a pause gets nothing until its end', async (t) => {
  const clock = createFakeClock();
  const bench = await startTestGateway({ clock });
  const answered = bench.send({ target: '/safe/x' });
  const first = await takeNextRequest(bench.servers);
  const pause = { [HEADERS.notRun]: '1', [HEADERS.retryAfter]: '2.5' };
  first.server.answer(first.request, 503, '', pause);
  const second = await takeNextRequest(bench.servers);
  second.server.answer(second.request, 200, 'yes');
  await answered;
  clock.advance(2400);
  t.false((await listUsed(bench, 'early')).has(first.server.id));
  clock.advance(101);
  t.true((await listUsed(bench, 'late')).has(first.server.id));
  await bench.stop();
});

test('a caller is told at once when the first of the servers that paused wants work again', async (t) => {
  const clock = createFakeClock();
  const bench = await startTestGateway({ clock });
  const answered = bench.send({ target: '/safe/x' });
  for (const seconds of ['3', '2']) {
    const { request, server } = await takeNextRequest(bench.servers);
    server.answer(request, 503, '', { [HEADERS.notRun]: '1', [HEADERS.retryAfter]: seconds });
  }
  t.is((await answered).status, 503);
  const refused = await sendExpectingRefusal(bench, { target: '/safe/x', id: 'second' });
  t.is(refused?.status, 503);
  t.is(refused?.headers['retry-after'], '2');
  const stream = await sendExpectingRefusal(bench, { ...buildStreamRequest(), id: 'third' });
  t.is(stream?.status, 503);
  t.is(stream?.headers['retry-after'], '2');
  await bench.stop();
});
