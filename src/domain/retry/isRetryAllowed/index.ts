import type { RetryHistory } from '../types';

/** Number of buckets of a window. */
export const WINDOW_BUCKETS = 100;

const HALF_WINDOW_BUCKETS = WINDOW_BUCKETS / 2;

/**
 * A request is counted here up to this much after its caller sent it, as a fraction of the window in
 * buckets.
 */
const REQUEST_DELAY_BUCKETS = 5;

/** What a VM may use of the bounds. */
export interface RetryAllowance {
  /** Retries for each request. */
  readonly ratio: number;
  /** Retries in each window, whatever the requests. */
  readonly extra: number;
  /** Fraction that may be used, 0 to 1; 1 by default. */
  readonly share?: number;
  /** Number of retries that may be used whatever the share. */
  readonly minimum?: number;
}

const sumBetween = (buckets: readonly number[], first: number, last: number): number => {
  let sum = 0;
  for (let age = Math.max(0, first); age <= last; age += 1) sum += buckets[age] ?? 0;
  return sum;
};

/** Counts the requests that the bound of a window rests on, if it starts in the bucket of this age. */
const countRequests = (requests: readonly number[], startAge: number): number => {
  const newestAge = Math.max(0, startAge - WINDOW_BUCKETS + 1);
  const own = sumBetween(requests, newestAge, startAge - 1 - REQUEST_DELAY_BUCKETS);
  const earlier = sumBetween(
    requests,
    startAge - HALF_WINDOW_BUCKETS + 1,
    startAge + HALF_WINDOW_BUCKETS - 1 - REQUEST_DELAY_BUCKETS,
  );
  return (own + earlier) / 2;
};

/**
 * Tells whether one more retry now keeps the bound in every window that it can fall into.
 *
 * The requests of a window may be counted in the window itself or in the one half a window before
 * it, whichever has more. Which one that is depends on the requests of all VMs. The mean of both is
 * never more, and as all VMs use it, their sums keep the bound whichever of them takes the requests.
 * The earlier half lets a VM retry at once what it took a few seconds ago, the other half lets it
 * retry as soon as it takes requests at all.
 *
 * @param history - requests and retries of this VM
 * @param allowance - what this VM may use
 *
 * @example
 * isRetryAllowed({ requests: [], retries: [1], open: 0 }, { ratio: 0.5, extra: 2 }); // true
 */
export const isRetryAllowed = (
  { open, requests, retries }: RetryHistory,
  { extra, minimum = 0, ratio, share = 1 }: RetryAllowance,
): boolean => {
  let used = open + 1;
  // A window that starts within a bucket holds parts of one bucket more than it is long.
  for (let startAge = 0; startAge <= WINDOW_BUCKETS; startAge += 1) {
    used += retries[startAge] ?? 0;
    const allowed = ratio * countRequests(requests, startAge) + extra;
    if (used > Math.max(allowed * share, Math.min(allowed, minimum))) return false;
  }
  return true;
};
