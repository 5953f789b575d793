import type { BackoffPolicy } from '../types';

/**
 * Computes the delay before a retry: exponential backoff with full jitter, so that clients that
 * failed together do not retry together.
 *
 * @param retry - number of the retry, from 0
 * @param fraction - random number, from 0 inclusive to 1 exclusive
 * @returns milliseconds, below `min(maxMs, baseMs * 2 ** retry)`
 *
 * @example
 * computeBackoffMs(2, 0.5, { baseMs: 20, maxMs: 1000 }); // 40
 */
export function computeBackoffMs(retry: number, fraction: number, policy: BackoffPolicy): number {
  return fraction * Math.min(policy.maxMs, policy.baseMs * 2 ** retry);
}
