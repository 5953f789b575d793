import type { RetryArrivals, RetryExcess } from '../types';

/** Bounds of the repeats of all VMs together. */
export interface RetryWindowBounds {
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  readonly retryExtra: number;
}

const compareNumbers = (left: number, right: number): number => left - right;

/** Counts the sorted times from `startMs` on and before `endMs`. */
const countBetween = (sorted: readonly number[], startMs: number, endMs: number): number => {
  const findIndex = (timeMs: number): number => {
    let low = 0;
    let high = sorted.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((sorted[middle] ?? Infinity) < timeMs) low = middle + 1;
      else high = middle;
    }
    return low;
  };
  return findIndex(endMs) - findIndex(startMs);
};

/**
 * Finds the window whose repeats are most in relation to what the bounds allow.
 *
 * Windows start at each repeat and every hundredth of a window.
 *
 * @param arrivals - what one service saw, over all VMs
 * @returns the worst window; one without repeats if there were none
 *
 * @example
 * findRetryExcess({ requestsAtMs: [0], repeatsAtMs: [5, 6] }, bounds).repeats; // 2
 */
export const findRetryExcess = (
  arrivals: RetryArrivals,
  { retryExtra, retryRatio, retryWindowMs }: RetryWindowBounds,
): RetryExcess => {
  const requests = [...arrivals.requestsAtMs].sort(compareNumbers);
  const repeats = [...arrivals.repeatsAtMs].sort(compareNumbers);
  const halfMs = retryWindowMs / 2;
  const stepMs = retryWindowMs / 100;
  const firstMs = (repeats[0] ?? 0) - retryWindowMs;
  const steps = Math.ceil(((repeats.at(-1) ?? 0) - firstMs) / stepMs);
  const starts = new Set([
    ...repeats,
    ...Array.from({ length: steps }, (_, index) => firstMs + index * stepMs),
  ]);
  let worst = { startMs: 0, repeats: 0, allowed: retryExtra };
  let windowsOver = 0;
  [...starts].sort(compareNumbers).forEach((startMs) => {
    const counted = countBetween(repeats, startMs, startMs + retryWindowMs);
    const counts = [0, halfMs, retryWindowMs].map((beforeMs) =>
      countBetween(requests, startMs - beforeMs, startMs - beforeMs + retryWindowMs),
    );
    const allowed = retryRatio * Math.max(...counts) + retryExtra;
    if (counted > allowed) windowsOver += 1;
    if (counted * worst.allowed > worst.repeats * allowed)
      worst = { startMs, repeats: counted, allowed };
  });
  return { ...worst, windowsOver };
};
