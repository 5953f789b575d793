import test from 'ava';
import type { Demand } from '../../../domain/types';
import type { SlotOutcome } from '../../ports';
import { buildConfiguration, buildServer, createRouterFixture } from '../_lib/createRouterFixture';

const FINISHED: SlotOutcome = { outcome: 'finished', firstTokenMs: 10, outputTokens: 50 };

const BOTH = ['lookup', 'long'];

test('long requests leave the reserved slots to lookups, which get a higher priority', async (t) => {
  const fixture = createRouterFixture([buildServer('a', BOTH, 4)], 0);
  const slots = [];
  for (let index = 0; index < 4; index += 1) slots.push(await fixture.acquire('long'));
  t.deepEqual(
    slots.map((slot) => slot.isOk()),
    [true, true, true, false],
  );
  const lookup = await fixture.acquire('lookup');
  t.true(lookup._unsafeUnwrap().priority > (slots[0]?._unsafeUnwrap().priority ?? 0));
  t.is(slots[3]?._unsafeUnwrapErr().code, 'queue_full');
  t.true((slots[3]?._unsafeUnwrapErr().retryAfterMs ?? 0) > 0);
});

test('a server that serves no lookups gives all its slots to long requests', async (t) => {
  const fixture = createRouterFixture([buildServer('a', ['long'], 2)], 0);
  t.true((await fixture.acquire('long')).isOk());
  t.true((await fixture.acquire('long')).isOk());
});

test('a freed slot goes to a resume first, then to the workspace below its fair share', async (t) => {
  const fixture = createRouterFixture([buildServer('a', ['long'], 1)]);
  const first = (await fixture.acquire('long'))._unsafeUnwrap();
  const order: string[] = [];
  const wait = (name: string, change: Partial<Demand>) =>
    fixture.acquire('long', change).then((slot) => {
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

test('a demand whose estimated wait exceeds its deadline is refused at once', async (t) => {
  const fixture = createRouterFixture([buildServer('a', ['long'], 1)]);
  await fixture.acquire('long');
  const refusal = (await fixture.acquire('long', { deadlineMs: 1000 }))._unsafeUnwrapErr();
  t.is(refusal.code, 'deadline_too_short');
  t.is(refusal.retryAfterMs, 4000);
});

test('a passed deadline or an aborted call ends the wait and removes the waiter', async (t) => {
  const fixture = createRouterFixture([buildServer('a', ['long'], 1)]);
  await fixture.acquire('long');
  const caller = new AbortController();
  const late = fixture.acquire('long');
  const given = fixture.acquire('long', {}, caller.signal);
  caller.abort();
  t.is((await given)._unsafeUnwrapErr().code, 'deadline_too_short');
  fixture.advance(60_000);
  t.is((await late)._unsafeUnwrapErr().code, 'deadline_too_short');
  t.is(fixture.router.countWaiting(), 0);
});

// Guards against a slot for a caller that has left: a signal that aborted earlier sends no event.
test('a call that was aborted before it waits gets no place in the queue', async (t) => {
  const fixture = createRouterFixture([buildServer('a', ['long'], 1)]);
  const running = (await fixture.acquire('long'))._unsafeUnwrap();
  const gone = fixture.acquire('long', {}, AbortSignal.abort());
  t.is(fixture.router.countWaiting(), 0);
  running.release(FINISHED);
  t.is((await gone)._unsafeUnwrapErr().code, 'deadline_too_short');
  t.true((await fixture.acquire('long')).isOk());
});

test('a server recovery or a change of peer load serves the waiting demands', async (t) => {
  const fixture = createRouterFixture([
    buildServer('a', ['long'], 1),
    buildServer('b', ['long'], 1),
  ]);
  fixture.setHealth('b', 'suspected');
  await fixture.acquire('long');
  const first = fixture.acquire('long');
  fixture.setHealth('b', 'serving');
  t.is((await first)._unsafeUnwrap().server.name, 'b');
  fixture.load.recordPeerSends('vm-2', [{ backendServer: 'b', running: 1 }]);
  (await first)._unsafeUnwrap().release(FINISHED);
  const second = fixture.acquire('long');
  t.is(fixture.router.countWaiting(), 1);
  fixture.load.recordPeerSends('vm-2', []);
  t.is((await second)._unsafeUnwrap().server.name, 'b');
});

test('a waiting demand that a new configuration no longer allows is refused', async (t) => {
  // Guards against a request that runs in a place closed to it by a newer configuration: a queue
  // that checks permissions only on arrival sends the demand there when a slot becomes free.
  const fixture = createRouterFixture([buildServer('a', ['long'], 1)]);
  const running = (await fixture.acquire('long'))._unsafeUnwrap();
  const waiting = fixture.acquire('long');
  const rule = { name: 'closed', workspaces: ['large'], services: [], places: [] };
  const next = buildConfiguration([buildServer('a', ['long'], 1)], 10);
  fixture.apply({ ...next, placementRules: [rule] });
  running.release(FINISHED);
  t.is((await waiting)._unsafeUnwrapErr().code, 'no_allowed_place');
});

test('retries stop when the retry budget is spent; excluded servers are not chosen', async (t) => {
  const fixture = createRouterFixture([
    buildServer('a', ['long'], 99),
    buildServer('b', ['long'], 99),
  ]);
  const codes: string[] = [];
  for (let index = 0; index < 25; index += 1) {
    const slot = await fixture.acquire('long', { excludedServers: ['a'] });
    codes.push(
      slot.match(
        ({ server }) => server.name,
        ({ code }) => code,
      ),
    );
  }
  t.is(codes.filter((code) => code === 'b').length, 20);
  t.is(codes.at(-1), 'retry_budget_spent');
  t.deepEqual(fixture.decisions[0]?.filtered, [
    { backendServer: 'a', reason: 'failed-this-request' },
  ]);
});

test('every demand records exactly one final decision', async (t) => {
  const fixture = createRouterFixture([buildServer('a', ['long'], 1)], 1);
  const slot = (await fixture.acquire('long'))._unsafeUnwrap();
  const waiting = fixture.acquire('long');
  await fixture.acquire('long');
  await fixture.acquire('long', { workspace: 'nobody' });
  slot.release(FINISHED);
  slot.release(FINISHED);
  await waiting;
  t.deepEqual(
    fixture.decisions.map(({ kind }) => kind),
    ['route', 'queue', 'refuse', 'refuse', 'route'],
  );
  t.deepEqual(fixture.load.listOwnSends(), [{ backendServer: 'a', running: 1 }]);
});
