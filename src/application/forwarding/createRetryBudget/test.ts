import test from 'ava';
import { createFakeClock, NO_RETRY_METER } from '../../../../standins/fakes';
import { createRetryBudget } from '.';

const BOUNDS = { retryRatio: 0.5, retryWindowMs: 10_000, retryExtra: 10 };

const acquireAll = (acquire: () => boolean): number => {
  let count = 0;
  while (acquire()) count += 1;
  return count;
};

test('retries are bounded by a fraction of recent requests and a share of the extra retries', (t) => {
  const clock = createFakeClock();
  const budget = createRetryBudget({
    bounds: BOUNDS,
    clock,
    countVms: () => 2,
    meter: NO_RETRY_METER,
  });
  for (let index = 0; index < 20; index += 1) budget.recordRequest('s');
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
  const clock = createFakeClock();
  const budget = createRetryBudget({
    bounds: BOUNDS,
    clock,
    countVms: () => 10,
    meter: NO_RETRY_METER,
  });
  t.false(budget.acquireRetry('s'));
});

test('old requests and retries leave the sliding window', (t) => {
  const clock = createFakeClock();
  const budget = createRetryBudget({
    bounds: BOUNDS,
    clock,
    countVms: () => 1,
    meter: NO_RETRY_METER,
  });
  t.is(
    acquireAll(() => budget.acquireRetry('s')),
    9,
  );
  clock.advance(9000);
  t.false(budget.acquireRetry('s'));
  clock.advance(1200);
  t.is(
    acquireAll(() => budget.acquireRetry('s')),
    9,
  );
});

// Guards against planned retries that use up the budget of lost runs. When many runs were migrated
// at once, the last ones got no retry after they had been stopped, and stalled for seconds.
test('a caller may be limited to a share of the budget, and an unused retry can be released', (t) => {
  const clock = createFakeClock();
  const budget = createRetryBudget({
    bounds: BOUNDS,
    clock,
    countVms: () => 1,
    meter: NO_RETRY_METER,
  });
  t.is(
    acquireAll(() => budget.acquireRetry('s', { share: 0.5 })),
    4,
  );
  t.is(
    acquireAll(() => budget.acquireRetry('s')),
    5,
  );
  budget.releaseRetry('s');
  t.true(budget.acquireRetry('s'));
});

// Guards against repeats beyond the bound: attempts that found no server gave back retries of an
// earlier bucket, which then counted as less than none.
test('retries that are given back late leave no more than the bound to the next window', (t) => {
  const clock = createFakeClock();
  const budget = createRetryBudget({
    bounds: BOUNDS,
    clock,
    countVms: () => 1,
    meter: NO_RETRY_METER,
  });
  const acquire = (): boolean => budget.acquireRetry('s');
  clock.advance(900);
  const unsent = acquireAll(acquire);
  clock.advance(120);
  for (let index = 0; index < unsent; index += 1) budget.releaseRetry('s');
  t.is(acquireAll(acquire), 9);
  clock.advance(9000);
  t.is(acquireAll(acquire), 0);
});

test('a retry that left the window, or was borrowed, gives nothing back', (t) => {
  const clock = createFakeClock();
  const budget = createRetryBudget({
    bounds: BOUNDS,
    clock,
    countVms: () => 1,
    meter: NO_RETRY_METER,
  });
  budget.acquireRetry('s');
  clock.advance(11_000);
  budget.releaseRetry('s');
  t.is(
    acquireAll(() => budget.acquireRetry('s')),
    9,
  );
});

// Guards against windows that are shorter than the bound's: retries taken late in a bucket were
// free again nine tenths of a window later.
test('retries are within the bound in every window, at any phase', (t) => {
  const phases = Array.from({ length: 10 }, (_, index) => 50 + index * 100);
  const worst = phases.map((phaseMs) => {
    const clock = createFakeClock();
    const budget = createRetryBudget({
      bounds: BOUNDS,
      clock,
      countVms: () => 1,
      meter: NO_RETRY_METER,
    });
    clock.advance(phaseMs);
    const first = acquireAll(() => budget.acquireRetry('s'));
    clock.advance(BOUNDS.retryWindowMs - 100);
    return first + acquireAll(() => budget.acquireRetry('s'));
  });
  t.true(Math.max(...worst) <= BOUNDS.retryExtra, `${worst}`);
});
