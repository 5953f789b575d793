/** Deadline of a request, compared with others of its route. */
export interface ReturningOptions {
  /** How long the caller waits; null if unknown. */
  readonly deadlineMs: number | null;
  /** Longest deadline seen on the route so far. */
  readonly longestDeadlineMs: number;
  /** Shortest delay after which refused callers of the route are told to retry. */
  readonly minRetryAfterMs: number;
}

/**
 * Tells whether a request is the retry of a refused one.
 *
 * The deadline of a retry is shorter than that of other requests by at least the delay that the
 * caller was told to wait. Nothing else in a request marks a retry.
 *
 * @example
 * isReturning({ deadlineMs: 18000, longestDeadlineMs: 25000, minRetryAfterMs: 4500 }); // true
 */
export const isReturning = ({
  deadlineMs,
  longestDeadlineMs,
  minRetryAfterMs,
}: ReturningOptions): boolean =>
  deadlineMs !== null && longestDeadlineMs - deadlineMs >= minRetryAfterMs;
