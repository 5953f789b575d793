import test from 'ava';
import type { Demand } from '../../../domain/types';
import type { SlotOutcome } from '../../ports';
import { buildConfiguration, buildServer, createRouterFixture } from '../_lib/createRouterFixture';

const FINISHED: SlotOutcome = { outcome: 'finished', firstTokenMs: 10, outputTokens: 50 };

const BOTH = ['lookup', 'long'];

test('long work leaves the reserved slots to lookups, which come at a higher priority', async (t) => {
  const bench = createRouterFixture([buildServer('a', BOTH, 4)], 0);
  const slots = [];
  for (let index = 0; index < 4; index += 1) slots.push(await bench.acquire('long'));
  t.deepEqual(
    slots.map((slot) => slot.isOk()),
    [true, true, true, false],
  );
  const lookup = await bench.acquire('lookup');
  t.true(lookup._unsafeUnwrap().priority > (slots[0]?._unsafeUnwrap().priority ?? 0));
  t.is(slots[3]?._unsafeUnwrapErr().code, 'queue_full');
  t.true((slots[3]?._unsafeUnwrapErr().retryAfterMs ?? 0) > 0);
});

test('a server without lookups gives all its slots to long work', async (t) => {
  const bench = createRouterFixture([buildServer('a', ['long'], 2)], 0);
  t.true((await bench.acquire('long')).isOk());
  t.true((await bench.acquire('long')).isOk());
});

test('a freed slot goes to a resume first, then to the workspace that had less', async (t) => {
  const bench = createRouterFixture([buildServer('a', ['long'], 1)]);
  const first = (await bench.acquire('long'))._unsafeUnwrap();
  const order: string[] = [];
  const wait = (name: string, change: Partial<Demand>) =>
    bench.acquire('long', change).then((slot) => {
      order.push(name);
      slot._unsafeUnwrap().release(FINISHED);
    });
  const all = [
    wait('large-1', {}),
    wait('large-2', {}),
    wait('small-1', { workspace: 'small' }),
    wait('resume', { purpose: 'resume' }),
  ];
  await Promise.resolve();
  first.release(FINISHED);
  await Promise.all(all);
  t.deepEqual(order, ['resume', 'small-1', 'large-1', 'large-2']);
});

test('a queue too long for the deadline is refused at once, with the time by which', async (t) => {
  const bench = createRouterFixture([buildServer('a', ['long'], 1)]);
  await bench.acquire('long');
  const refusal = (await bench.acquire('long', { deadlineMs: 1000 }))._unsafeUnwrapErr();
  t.is(refusal.code, 'deadline_too_short');
  t.is(refusal.retryAfterMs, 4000);
});

test('the deadline and the caller end the wait, and leave nothing behind', async (t) => {
  const bench = createRouterFixture([buildServer('a', ['long'], 1)]);
  await bench.acquire('long');
  const caller = new AbortController();
  const late = bench.acquire('long');
  const given = bench.acquire('long', {}, caller.signal);
  caller.abort();
  t.is((await given)._unsafeUnwrapErr().code, 'deadline_too_short');
  bench.pass(60_000);
  t.is((await late)._unsafeUnwrapErr().code, 'deadline_too_short');
  t.is(bench.router.countWaiting(), 0);
});

test('a recovery and a report wake those who wait', async (t) => {
  const bench = createRouterFixture([buildServer('a', ['long'], 1), buildServer('b', ['long'], 1)]);
  bench.setHealth('b', 'suspected');
  await bench.acquire('long');
  const first = bench.acquire('long');
  bench.setHealth('b', 'serving');
  t.is((await first)._unsafeUnwrap().server.name, 'b');
  bench.load.recordPeerSends('vm-2', [{ backendServer: 'b', running: 1 }]);
  (await first)._unsafeUnwrap().release(FINISHED);
  const second = bench.acquire('long');
  t.is(bench.router.countWaiting(), 1);
  bench.load.recordPeerSends('vm-2', []);
  t.is((await second)._unsafeUnwrap().server.name, 'b');
});

test('a waiter that a new configuration no longer allows is refused', async (t) => {
  // Symptom: a review runs in a place that an accepted change had closed to it.
  // Sequence: the demand waits; version 2 closes the place; a slot is freed there.
  // Cause: the queue kept what was allowed when the demand came.
  const bench = createRouterFixture([buildServer('a', ['long'], 1)]);
  const running = (await bench.acquire('long'))._unsafeUnwrap();
  const waiting = bench.acquire('long');
  const rule = { name: 'closed', workspaces: ['large'], services: [], places: [] };
  const next = buildConfiguration([buildServer('a', ['long'], 1)], 10);
  bench.apply({ ...next, placementRules: [rule] });
  running.release(FINISHED);
  t.is((await waiting)._unsafeUnwrapErr().code, 'no_allowed_place');
});

test('retries stop when their budget is spent; excluded servers are not chosen', async (t) => {
  const bench = createRouterFixture([
    buildServer('a', ['long'], 99),
    buildServer('b', ['long'], 99),
  ]);
  const codes: string[] = [];
  for (let index = 0; index < 25; index += 1) {
    const slot = await bench.acquire('long', { excludedServers: ['a'] });
    codes.push(
      slot.match(
        ({ server }) => server.name,
        ({ code }) => code,
      ),
    );
  }
  t.is(codes.filter((code) => code === 'b').length, 20);
  t.is(codes.at(-1), 'retry_budget_spent');
  t.deepEqual(bench.decisions[0]?.filtered, [
    { backendServer: 'a', reason: 'failed-this-request' },
  ]);
});

test('every demand leaves exactly one final decision', async (t) => {
  const bench = createRouterFixture([buildServer('a', ['long'], 1)], 1);
  const slot = (await bench.acquire('long'))._unsafeUnwrap();
  const waiting = bench.acquire('long');
  await bench.acquire('long');
  await bench.acquire('long', { workspace: 'nobody' });
  slot.release(FINISHED);
  slot.release(FINISHED);
  await waiting;
  t.deepEqual(
    bench.decisions.map(({ kind }) => kind),
    ['route', 'queue', 'refuse', 'refuse', 'route'],
  );
  t.deepEqual(bench.load.listOwnSends(), [{ backendServer: 'a', running: 1 }]);
});
