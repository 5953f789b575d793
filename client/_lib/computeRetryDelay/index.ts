const BASE_DELAY_MS = 50;
const MAX_DELAY_MS = 5000;

/**
 * Computes how long to wait before the next request, in milliseconds.
 *
 * The first request after a break goes out at once: a lost entry is the common cause, and another
 * one can go on. Later ones are spread, so that the callers of a lost zone do not come as one.
 *
 * @param fruitless - Requests in a row that brought no token, this one counted; at least 1.
 * @param retryAfterMs - What the system asked for; it is never undercut.
 * @param fraction - Random number from 0 to 1.
 */
export function computeRetryDelay(
  fruitless: number,
  retryAfterMs: number,
  fraction: number,
): number {
  if (fruitless <= 1) return retryAfterMs;
  const limit = Math.min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** (fruitless - 1));
  return retryAfterMs + limit * fraction;
}
