import test from 'ava';
import { createFakeClock } from '../../../../standins/fakes';
import { createRetryBudget } from '.';

const BOUNDS = { retryRatio: 0.5, retryWindowMs: 10_000, retryExtra: 10 };

const acquireAll = (acquire: () => boolean): number => {
  let count = 0;
  while (acquire()) count += 1;
  return count;
};

test('retries are bounded by the requests of the window and a part of the free ones', (t) => {
  const clock = createFakeClock();
  const allowance = createRetryBudget({ bounds: BOUNDS, clock, countVms: () => 2 });
  for (let index = 0; index < 20; index += 1) allowance.recordRequest('s');
  // 0.9 of 0.5 x 20 + 10 / 2.
  t.is(
    acquireAll(() => allowance.acquireRetry('s')),
    13,
  );
  t.is(
    acquireAll(() => allowance.acquireRetry('other')),
    4,
  );
});

// Symptom: a service gets more repeats than all VMs together may send.
// Sequence: many VMs retry at once.
// Cause: each takes the whole of the free retries for itself.
test('the free retries are shared by the VMs that are known', (t) => {
  const clock = createFakeClock();
  const allowance = createRetryBudget({ bounds: BOUNDS, clock, countVms: () => 10 });
  t.false(allowance.acquireRetry('s'));
});

test('the window slides: old requests and retries are forgotten', (t) => {
  const clock = createFakeClock();
  const allowance = createRetryBudget({ bounds: BOUNDS, clock, countVms: () => 1 });
  t.is(
    acquireAll(() => allowance.acquireRetry('s')),
    9,
  );
  clock.advance(9000);
  t.false(allowance.acquireRetry('s'));
  clock.advance(2000);
  t.is(
    acquireAll(() => allowance.acquireRetry('s')),
    9,
  );
});

// Symptom: a run that was stopped to be moved stands still for seconds.
// Sequence: many runs are moved; all repeats of the window are used; the next ones are refused.
// Cause: planned repeats use up what lost runs need.
test('a kind of repeat may be held to a part, and one that reached no server is given back', (t) => {
  const clock = createFakeClock();
  const allowance = createRetryBudget({ bounds: BOUNDS, clock, countVms: () => 1 });
  t.is(
    acquireAll(() => allowance.acquireRetry('s', { part: 0.5 })),
    4,
  );
  t.is(
    acquireAll(() => allowance.acquireRetry('s')),
    5,
  );
  allowance.releaseRetry('s');
  t.true(allowance.acquireRetry('s'));
});
