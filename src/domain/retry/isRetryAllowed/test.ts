import test from 'ava';
import type { RetryHistory } from '../types';
import { isRetryAllowed, WINDOW_BUCKETS } from '.';

const NO_HISTORY: RetryHistory = {
  sentRequests: [],
  countedRequests: [],
  retries: [],
  open: 0,
};

/** Requests that were counted as soon as they were sent. */
const countAtOnce = (requests: readonly number[]) => ({
  sentRequests: requests,
  countedRequests: requests,
});

/** Builds buckets with this count at one age. */
const countAt = (age: number, count: number): number[] => {
  const buckets = new Array<number>(age + 1).fill(0);
  buckets[age] = count;
  return buckets;
};

test('the extra retries are allowed without requests, up to their number', (t) => {
  t.true(isRetryAllowed({ ...NO_HISTORY, retries: [1] }, { ratio: 0, extra: 2 }));
  t.false(isRetryAllowed({ ...NO_HISTORY, retries: [2] }, { ratio: 0, extra: 2 }));
  t.false(isRetryAllowed(NO_HISTORY, { ratio: 1, extra: 0.9 }));
});

test('retries count until every window that they fell into has ended', (t) => {
  const allowance = { ratio: 0, extra: 1 };
  t.false(isRetryAllowed({ ...NO_HISTORY, retries: countAt(WINDOW_BUCKETS, 1) }, allowance));
  t.true(isRetryAllowed({ ...NO_HISTORY, retries: countAt(WINDOW_BUCKETS + 1, 1) }, allowance));
});

test('retries that may still arrive count whatever their age', (t) => {
  t.false(isRetryAllowed({ ...NO_HISTORY, open: 1 }, { ratio: 0, extra: 1 }));
});

// Guards against a bound that rests on requests of another window: those of now say nothing of the
// window that ends now, and those of long ago nothing of the one that begins.
test('requests count for the windows around them, and only for these', (t) => {
  const allowance = { ratio: 1, extra: 1 };
  const steady = new Array<number>(1.5 * WINDOW_BUCKETS).fill(1);
  const used = (count: number) => ({ retries: countAt(60, count), open: 0 });
  t.true(isRetryAllowed({ ...countAtOnce(steady), ...used(0.7 * WINDOW_BUCKETS) }, allowance));
  t.false(isRetryAllowed({ ...countAtOnce(steady), ...used(0.8 * WINDOW_BUCKETS) }, allowance));
  t.false(isRetryAllowed({ ...countAtOnce(countAt(0, 50)), ...used(1) }, allowance));
  t.false(isRetryAllowed({ ...countAtOnce(countAt(145, 50)), retries: [1], open: 0 }, allowance));
});

// Guards against windows that rest on requests which were sent before them, or after.
test('requests count only for windows in which they were surely sent', (t) => {
  const allowance = { ratio: 1, extra: 1 };
  const used = { retries: countAt(30, 20), open: 0 };
  const lateRequests = { sentRequests: countAt(80, 50), countedRequests: countAt(20, 50) };
  t.true(isRetryAllowed({ ...used, ...countAtOnce(countAt(20, 50)) }, allowance));
  t.false(isRetryAllowed({ ...used, ...lateRequests }, allowance));
});

test('a VM may retry as soon as it takes requests, and at once what it took before', (t) => {
  const count = (requests: readonly number[]): number => {
    let retries = 0;
    while (
      isRetryAllowed(
        { ...countAtOnce(requests), retries: [retries], open: 0 },
        { ratio: 0.8, extra: 1 },
      )
    )
      retries += 1;
    return retries;
  };
  const steady = new Array<number>(1.5 * WINDOW_BUCKETS).fill(1);
  t.is(count([]), 1);
  // The requests of half a window, and those of the present one, count for a half each.
  t.is(count(steady), 1 + 0.5 * 0.8 * 45);
  t.true(count(steady.slice(0, 30)) > 0.25 * 0.8 * 30);
});

test('a share limits the use, but not below the minimum', (t) => {
  const history = { ...NO_HISTORY, retries: [1] };
  t.false(isRetryAllowed(history, { ratio: 0, extra: 3, share: 0.5 }));
  t.true(isRetryAllowed(history, { ratio: 0, extra: 3, share: 0.5, minimum: 2 }));
  t.false(isRetryAllowed(history, { ratio: 0, extra: 1.9, share: 0.5, minimum: 2 }));
});
