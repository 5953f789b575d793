const BASE_DELAY_MS = 50;
const MAX_DELAY_MS = 5000;

/**
 * Computes how long to wait before the next request, in milliseconds.
 *
 * The first retry is immediate, because the usual cause is a lost entry and another entry can
 * continue. Later retries use exponential backoff with jitter, so that the callers of a lost
 * availability zone do not retry at the same moment.
 *
 * @param fruitlessRequests - Consecutive requests without a token, including this one; at least 1.
 * @param retryAfterMs - Minimum delay that the system asked for.
 * @param fraction - Random number from 0 to 1, for the jitter.
 */
export function computeRetryDelay(
  fruitlessRequests: number,
  retryAfterMs: number,
  fraction: number,
): number {
  if (fruitlessRequests <= 1) return retryAfterMs;
  const limit = Math.min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** (fruitlessRequests - 1));
  return retryAfterMs + limit * fraction;
}
