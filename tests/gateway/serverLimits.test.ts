// Guards against routing that is not told, or does not heed, how many requests a server takes.
import test from 'ava';
import { HEADERS } from '../../platform';
import { createFakeClock } from '../../standins/fakes';
import type { StandInServer } from '../../standins/gateway';
import { buildStreamRequest } from './_lib/buildStreamRequest';
import { findFreePort } from '../../standins/_lib/findFreePort';
import { callAnyServer } from './_lib/callAnyServer';
import { takeNextRequest } from './_lib/takeNextRequest';
import { sendEvents } from './_lib/sendEvents';
import { sendExpectingRefusal } from './_lib/sendExpectingRefusal';
import { startTestGateway } from './_lib/startTestGateway';

/** What a limit allows in this time, and by how much arrivals may exceed it. */
const WINDOW_S = 4;
const MAX_EXCESS = 1.2;

const LIMIT_PER_S = 2;

/** Enough that one of two equal servers gets far more than the limit allows unless it is heeded. */
const CALLS = 40;

const nameLimit = (limit: string) => ({ [HEADERS.limit]: limit });

test('the log says which limit an answer named, and when one named none any more', async (t) => {
  const clock = createFakeClock();
  const bench = await startTestGateway({ clock, serverIds: ['i-1'] });
  t.teardown(bench.stop);
  await callAnyServer(bench, { id: 'first', headers: nameLimit('3.7') });
  clock.advance(1000);
  await callAnyServer(bench, { id: 'same', headers: nameLimit('3.7') });
  clock.advance(1000);
  await callAnyServer(bench, { id: 'none' });
  const named = bench.lines.filter(({ message }) => message === 'server limit');
  t.deepEqual(
    named.map(({ before, limitPerS, server }) => ({ before, limitPerS, server })),
    [
      { before: 'none', limitPerS: 3.7, server: 'i-1' },
      { before: 3.7, limitPerS: 'none', server: 'i-1' },
    ],
  );
});

test('a server gets no more lookups than the limit that it names, and the others get the rest', async (t) => {
  const bench = await startTestGateway({ clock: createFakeClock() });
  t.teardown(bench.stop);
  const limited = await callAnyServer(bench, {
    id: 'first',
    headers: nameLimit(String(LIMIT_PER_S)),
  });
  let arrived = 1;
  for (let call = 0; call < CALLS; call += 1) {
    const answered = bench.send({ target: '/safe/x', id: `call-${call}` });
    const { request, server } = await takeNextRequest(bench.servers);
    const isLimited = server === limited;
    if (isLimited) arrived += 1;
    server.answer(request, 200, 'yes', isLimited ? nameLimit(String(LIMIT_PER_S)) : {});
    t.is((await answered).status, 200);
  }
  t.true(arrived <= LIMIT_PER_S * WINDOW_S * MAX_EXCESS, `${arrived} arrived`);
});

test('prompts count for the limit that a server names', async (t) => {
  const bench = await startTestGateway({ clock: createFakeClock() });
  t.teardown(bench.stop);
  const first = bench.follow({ ...buildStreamRequest(), id: 'first' });
  const taken = await takeNextRequest(bench.servers);
  taken.request.response.setHeader(HEADERS.limit, String(LIMIT_PER_S));
  sendEvents(taken, 1, 2);
  await first.done;
  let arrived = 1;
  for (let stream = 0; stream < CALLS; stream += 1) {
    const followed = bench.follow({ ...buildStreamRequest(), id: `stream-${stream}` });
    const next = await takeNextRequest(bench.servers);
    if (next.server === taken.server) {
      arrived += 1;
      next.request.response.setHeader(HEADERS.limit, String(LIMIT_PER_S));
    }
    sendEvents(next, 1, 2);
    t.true((await followed.done).isWhole);
  }
  t.true(arrived <= LIMIT_PER_S * WINDOW_S * MAX_EXCESS, `${arrived} arrived`);
});

test('a lookup beyond the limits of all servers is refused at once, with a time to come back', async (t) => {
  const bench = await startTestGateway({ clock: createFakeClock(), serverIds: ['i-1'] });
  t.teardown(bench.stop);
  await callAnyServer(bench, { id: 'first', headers: nameLimit('0.5') });
  const refused = await sendExpectingRefusal(bench, { target: '/unsafe/x', id: 'second' });
  t.is(refused?.status, 503);
  t.true(Number(refused?.headers['retry-after']) > 0);
});

test('a server that names no limit any more gets as many requests as before', async (t) => {
  const clock = createFakeClock();
  const bench = await startTestGateway({ clock, serverIds: ['i-1'] });
  t.teardown(bench.stop);
  await callAnyServer(bench, { id: 'first', headers: nameLimit('0.5') });
  clock.advance(WINDOW_S * 1000);
  await callAnyServer(bench, { id: 'last of the limit' });
  for (let call = 0; call < CALLS; call += 1) await callAnyServer(bench, { id: `call-${call}` });
  t.is(bench.servers[0]?.countRequests(), CALLS + 2);
});

test('gateways keep a limit together, also one that has not heard of it from the server', async (t) => {
  const peerAddress = `127.0.0.1:${await findFreePort()}`;
  const first = await startTestGateway({ serverIds: ['i-1'], settings: { peerAddress } });
  t.teardown(first.stop);
  const second = await startTestGateway({
    sharedWith: first,
    settings: { vm: 'vm-2', availabilityZone: 'z2', seedAddresses: [peerAddress] },
  });
  t.teardown(second.stop);
  await second.waitForLine('peers known');
  await callAnyServer(first, { id: 'first', headers: nameLimit(String(LIMIT_PER_S)) });
  await second.waitForLine('server limit', ({ source }) => source === 'told');
  const [server] = first.servers as [StandInServer];
  server.addListener(() => {
    const request = server.takeRequest();
    if (request) server.answer(request, 200, 'yes', nameLimit(String(LIMIT_PER_S)));
  });
  const answers = await Promise.all(
    [first, second].flatMap((bench, index) =>
      Array.from({ length: CALLS }, (_, call) =>
        bench.send({ target: '/unsafe/x', id: `call-${index}-${call}` }),
      ),
    ),
  );
  const arrived = server.countRequests();
  t.true(arrived <= LIMIT_PER_S * WINDOW_S * MAX_EXCESS, `${arrived} arrived`);
  t.is(answers.filter(({ status }) => status === 200).length, arrived - 1);
  t.is(answers.filter(({ status }) => status === 503).length, answers.length - arrived + 1);
});
