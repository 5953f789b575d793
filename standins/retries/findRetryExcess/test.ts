import test from 'ava';
import { findRetryExcess } from '.';

const BOUNDS = { retryRatio: 0.5, retryWindowMs: 1000, retryExtra: 2 };

const repeatTime = (atMs: number, count: number): number[] => new Array<number>(count).fill(atMs);

test('the worst window starts at a repeat, at any phase', (t) => {
  const worst = findRetryExcess(
    { requestsAtMs: [], repeatsAtMs: [...repeatTime(995, 2), ...repeatTime(1990, 2)] },
    BOUNDS,
  );
  t.is(worst.repeats, 4);
  t.is(worst.allowed, 2);
  t.true(worst.windowsOver > 0);
});

test('repeats that are a whole window apart are not counted together', (t) => {
  const worst = findRetryExcess({ requestsAtMs: [], repeatsAtMs: [0, 0, 1000, 1000] }, BOUNDS);
  t.is(worst.repeats, 2);
  t.is(worst.windowsOver, 0);
});

test('the requests are those of the window, the one before it or the one between, whichever has most', (t) => {
  const requestsAtMs = repeatTime(100, 4);
  const find = (atMs: number) =>
    findRetryExcess({ requestsAtMs, repeatsAtMs: repeatTime(atMs, 4) }, BOUNDS).windowsOver;
  t.is(find(100), 0);
  t.is(find(500), 0);
  t.true(find(1200) > 0);
});

test('a service without repeats exceeds nothing', (t) => {
  t.is(findRetryExcess({ requestsAtMs: [1], repeatsAtMs: [] }, BOUNDS).repeats, 0);
});
