import test from 'ava';
import { createFakeClock, NO_RETRY_METER } from '../../../../standins/fakes';
import { createVmClock } from '../../../../standins/rows';
import { countFixedRetries } from '../../../domain/retry';
import type { Retry } from '../types';
import { createRetryBudget } from '.';

const BOUNDS = { retryRatio: 0.5, retryWindowMs: 10_000, retryExtra: 10 };

/** The budget of one of this many VMs. */
const build = (vms = 1) => {
  const clock = createFakeClock();
  const countFixed = (): number => countFixedRetries(BOUNDS) / vms;
  const budget = createRetryBudget({ bounds: BOUNDS, clock, countFixed, meter: NO_RETRY_METER });
  return { budget, clock };
};

/** Acquires retries until there are no more, and finishes them. */
const acquireAll = (acquire: () => Retry | null): number => {
  let count = 0;
  for (let retry = acquire(); retry; retry = acquire()) {
    retry.finish();
    count += 1;
  }
  return count;
};

test('retries are bounded by a fraction of recent requests and a share of the extra retries', (t) => {
  const { budget, clock } = build(2);
  for (let index = 0; index < 20; index += 1) budget.recordRequest('s', 0);
  clock.advance(1000);
  // Half of 0.5 x 20, as the requests may be counted in another window, and 0.95 of 10 / 2.
  t.is(
    acquireAll(() => budget.acquireRetry('s')),
    9,
  );
  t.is(
    acquireAll(() => budget.acquireRetry('other')),
    4,
  );
});

// Guards against exceeding the common bound: if many VMs retry at once, none of them may take all
// of the extra retries for itself.
test('the extra retries are shared among the known VMs', (t) => {
  const { budget } = build(10);
  t.is(budget.acquireRetry('s'), null);
});

test('old requests and retries leave the sliding window', (t) => {
  const { budget, clock } = build();
  t.is(
    acquireAll(() => budget.acquireRetry('s')),
    9,
  );
  clock.advance(9000);
  t.is(budget.acquireRetry('s'), null);
  clock.advance(1200);
  t.is(
    acquireAll(() => budget.acquireRetry('s')),
    9,
  );
});

// Guards against planned retries that use up the budget of lost runs. When many runs were migrated
// at once, the last ones got no retry after they had been stopped, and stalled for seconds.
test('a caller may be limited to a share of the budget, and an unused retry can be released', (t) => {
  const { budget, clock } = build();
  t.is(
    acquireAll(() => budget.acquireRetry('s', { share: 0.5 })),
    4,
  );
  t.is(
    acquireAll(() => budget.acquireRetry('s')),
    5,
  );
  clock.advance(11_000);
  acquireAll(() => budget.acquireRetry('s', { share: 0.9 }));
  const unused = budget.acquireRetry('s');
  t.is(budget.acquireRetry('s'), null);
  unused?.release();
  t.truthy(budget.acquireRetry('s'));
});

// Guards against repeats beyond the bound: attempts that found no server gave back retries of
// attempts that had arrived.
test('a retry that is released frees none that was finished, and only once', (t) => {
  const { budget, clock } = build();
  const acquire = (): Retry | null => budget.acquireRetry('s');
  const finished = acquire();
  finished?.finish();
  finished?.release();
  const unsent = [acquire(), acquire(), acquire()];
  clock.advance(900);
  unsent.forEach((retry) => {
    retry?.release();
    retry?.release();
  });
  t.is(acquireAll(acquire), 8);
  clock.advance(9300);
  t.is(acquireAll(acquire), 1);
});

// Guards against repeats that arrive together: attempts wait behind a silent server for seconds, and
// their retries were free again before they arrived.
test('a retry counts until a window after its attempt arrived', (t) => {
  const { budget, clock } = build();
  const acquire = (): Retry | null => budget.acquireRetry('s');
  const waiting = Array.from({ length: 9 }, acquire);
  clock.advance(3 * BOUNDS.retryWindowMs);
  t.is(acquire(), null);
  waiting.forEach((retry) => retry?.finish());
  clock.advance(BOUNDS.retryWindowMs);
  t.is(acquire(), null);
  clock.advance(200);
  t.truthy(acquire());
});

// Guards against windows that are shorter than the bound's: retries taken late in a bucket were
// free again nine tenths of a window later.
test('retries are within the bound in every window, at any phase', (t) => {
  const phases = Array.from({ length: 10 }, (_, index) => 50 + index * 100);
  const worst = phases.map((phaseMs) => {
    const { budget, clock } = build();
    clock.advance(phaseMs);
    const first = acquireAll(() => budget.acquireRetry('s'));
    clock.advance(BOUNDS.retryWindowMs - 100);
    return first + acquireAll(() => budget.acquireRetry('s'));
  });
  t.true(Math.max(...worst) <= BOUNDS.retryExtra, `${worst}`);
});

// Guards against requests of long ago that allow retries: the monotonic clock does not count the time
// for which the VM was suspended.
test('requests from before a suspension allow no retries', (t) => {
  const world = createFakeClock();
  const clock = createVmClock(world);
  const budget = createRetryBudget({
    bounds: BOUNDS,
    clock,
    countFixed: () => 0,
    meter: NO_RETRY_METER,
  });
  for (let index = 0; index < 20; index += 1) budget.recordRequest('s', 0);
  world.advance(1000);
  const retry = budget.acquireRetry('s');
  t.truthy(retry);
  retry?.release();
  clock.pause('suspended');
  world.advance(60_000);
  clock.resume();
  t.is(budget.acquireRetry('s'), null);
  budget.recordRequest('s', 0);
  world.advance(1000);
  t.is(budget.acquireRetry('s'), null);
});
