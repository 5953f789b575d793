/** Circumstances of a refused request. */
export interface RetryAfterOptions {
  /** Predicted queueing time; 0 if unknown. */
  readonly waitMs: number;
  /** How long the current outage or overload has lasted; 0 if it has just begun. */
  readonly outageMs: number;
  /** Time left until the caller's deadline. */
  readonly leftMs: number;
  /** Random number, from 0 inclusive to 1 exclusive, which spreads the retries of callers. */
  readonly draw: number;
}

/** Callers ignore a delay beyond this fraction of the time until their deadline. */
const MAX_LEFT_FRACTION = 1 / 3;

/** Width of the jitter, as a fraction of the delay. */
const JITTER = 0.2;

/** Shortest delay: most outages last at least this long. */
const MIN_RETRY_AFTER_MS = 200;

/**
 * Computes the delay after which a refused caller is told to retry.
 *
 * Callers retry once, and a retry that comes too early is refused for good, which is worse than one
 * that comes late. The wait in a queue is predicted; an outage is expected to last about as long as
 * it has lasted so far.
 *
 * @returns milliseconds
 *
 * @example
 * computeRetryAfterMs({ waitMs: 0, outageMs: 2000, leftMs: 24000, draw: 0.5 }); // 2000
 */
export const computeRetryAfterMs = ({
  draw,
  leftMs,
  outageMs,
  waitMs,
}: RetryAfterOptions): number => {
  const delayMs = Math.max(MIN_RETRY_AFTER_MS, waitMs, outageMs);
  const jitteredMs = delayMs * (1 - JITTER / 2 + JITTER * draw);
  return Math.round(Math.max(1, Math.min(jitteredMs, leftMs * MAX_LEFT_FRACTION)));
};
