import test from 'ava';
import { err, ok } from 'neverthrow';
import { createFakeClock } from '../../../../standins/fakes';
import type { Service } from '../../../domain/types';
import type { Slot } from '../../ports';
import { buildConfiguration, buildServer } from '../_lib/createRouterFixture';
import { createWaitQueue } from '.';

const NEVER = new AbortController().signal;
const { limits, services } = buildConfiguration([], 10);
const [service] = services as [Service];
const POOL = {
  version: 1,
  limits,
  allowed: { service, places: ['home'], servers: [], filtered: [] },
  placesKey: 'home',
  weight: 1,
  relativeWeight: 1,
};
const SLOT: Slot = { server: buildServer('a', ['long'], 1), priority: 0, release: () => {} };

const buildQueued = (workspace: string, deadlineMs = 60_000) => ({
  demand: {
    requestId: workspace,
    workspace,
    service: 'long',
    workClass: 'long',
    purpose: 'start',
    prefixes: [],
    promptTokens: 1,
    maxOutputTokens: 1,
    excludedServers: [],
    deadlineMs,
  } as const,
  pool: POOL,
  cost: 100,
  assumedIntervalMs: 1000,
});

const refuseAll = () => err({ code: 'no_allowed_place', message: '', retryAfterMs: 0 } as const);

// Guards against an unfair share after a change of the configuration: the workspace of a refused
// waiter was charged for work that was never done, and served after its peers.
test('a waiter that is refused when its turn comes is not charged to its workspace', async (t) => {
  const queue = createWaitQueue({ clock: createFakeClock() });
  const refused = queue.waitForSlot(buildQueued('large'), NEVER);
  queue.serve(refuseAll);
  t.is((await refused)._unsafeUnwrapErr().code, 'no_allowed_place');
  const order: string[] = [];
  const waiting = ['large', 'small'].map((name) => queue.waitForSlot(buildQueued(name), NEVER));
  queue.serve(({ demand }) => {
    order.push(demand.workspace);
    return ok(SLOT);
  });
  await Promise.all(waiting);
  t.deepEqual(order, ['large', 'small']);
});

// Guards against refusals for a wait that is too long only by estimate: the time until a waiter is
// refused says nothing about how fast waiters are served.
test('a refused waiter does not count in the measured interval between served ones', async (t) => {
  const clock = createFakeClock();
  const queue = createWaitQueue({ clock });
  const refused = queue.waitForSlot(buildQueued('large'), NEVER);
  queue.waitForSlot(buildQueued('small'), NEVER);
  clock.advance(20_000);
  queue.serve(({ demand }) => (demand.workspace === 'large' ? refuseAll() : null));
  t.true((await refused).isErr());
  t.true(queue.checkAdmission(buildQueued('other', 25_000)).isOk());
});
