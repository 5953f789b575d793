import type { RetryHistory } from '../types';

/** Number of buckets of a window. */
export const WINDOW_BUCKETS = 100;

const HALF_WINDOW_BUCKETS = WINDOW_BUCKETS / 2;

/**
 * Longest way of a request from its caller, as a fraction of the window in buckets, beside the time
 * for which it was there unread.
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

/** Requests up to each age, the present bucket first. */
interface RequestTotals {
  readonly sent: readonly number[];
  readonly counted: readonly number[];
}

const computeTotals = (buckets: readonly number[]): readonly number[] => {
  let total = 0;
  return buckets.map((count) => {
    total += count;
    return total;
  });
};

const readTotal = (totals: readonly number[], age: number): number =>
  age < 0 ? 0 : (totals[Math.min(age, totals.length - 1)] ?? 0);

/**
 * Counts the requests that were surely sent in the buckets of these ages: sent at the earliest after
 * the oldest one began, and counted before the newest one ended.
 */
const countSent = (
  { counted, sent }: RequestTotals,
  newestAge: number,
  oldestAge: number,
): number =>
  Math.max(
    0,
    readTotal(sent, oldestAge - REQUEST_DELAY_BUCKETS) - readTotal(counted, newestAge - 1),
  );

/** Counts the requests that the bound of a window rests on, if it starts in the bucket of this age. */
const countRequests = (requests: RequestTotals, startAge: number): number => {
  const own = countSent(requests, startAge - WINDOW_BUCKETS + 1, startAge - 1);
  const earlier = countSent(
    requests,
    startAge - HALF_WINDOW_BUCKETS + 1,
    startAge + HALF_WINDOW_BUCKETS - 1,
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
 * isRetryAllowed(
 *   { sentRequests: [], countedRequests: [], retries: [1], open: 0 },
 *   { ratio: 0.5, extra: 2 },
 * ); // true
 */
export const isRetryAllowed = (
  { countedRequests, open, retries, sentRequests }: RetryHistory,
  { extra, minimum = 0, ratio, share = 1 }: RetryAllowance,
): boolean => {
  const requests = {
    sent: computeTotals(sentRequests),
    counted: computeTotals(countedRequests),
  };
  let used = open + 1;
  // A window that starts within a bucket holds parts of one bucket more than it is long.
  for (let startAge = 0; startAge <= WINDOW_BUCKETS; startAge += 1) {
    used += retries[startAge] ?? 0;
    const allowed = ratio * countRequests(requests, startAge) + extra;
    if (used > Math.max(allowed * share, Math.min(allowed, minimum))) return false;
  }
  return true;
};
