/** What a request says of its time, beside others of its route. */
export interface ReturningOptions {
  /** How long the caller waits; null if it does not say. */
  readonly deadlineMs: number | null;
  /** Longest time that callers of the route waited so far. */
  readonly longestDeadlineMs: number;
  /** Refused callers of the route are told to come back no sooner than this. */
  readonly minRetryAfterMs: number;
}

/**
 * Tells whether a caller was refused before: its time is shorter than that of others by at least as
 * long as it was told to stay away. Nothing else in a request tells.
 *
 * @example
 * isReturning({ deadlineMs: 18000, longestMs: 25000, shortestReturnMs: 4500 }); // true
 */
export const isReturning = ({
  deadlineMs,
  longestDeadlineMs,
  minRetryAfterMs,
}: ReturningOptions): boolean =>
  deadlineMs !== null && longestDeadlineMs - deadlineMs >= minRetryAfterMs;
