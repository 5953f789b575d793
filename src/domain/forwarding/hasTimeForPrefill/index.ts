/**
 * Assumed prefill time while it is unknown, as a fraction of the latency goal: goals include time
 * for a queue and for a second attempt.
 */
const ASSUMED_GOAL_FRACTION = 0.25;

/** Times that decide whether a prefill can finish before the caller's deadline. */
export interface PrefillTimeOptions {
  /** Time left until the caller's deadline. */
  readonly leftMs: number;
  readonly latencyGoalMs: number;
  /** Prefill time on an otherwise idle server; infinite if unknown. */
  readonly prefillMs: number;
  /** How long work takes on the server now, relative to what is usual for its service; 1 by default. */
  readonly slowness?: number;
}

/**
 * Tells whether a first event can arrive before the caller's deadline.
 *
 * With less time left, the prefill would be wasted, and the caller would learn of the failure late
 * instead of at once.
 *
 * @example
 * hasTimeForPrefill({ leftMs: 600, latencyGoalMs: 4500, prefillMs: 1000 }); // false
 */
export const hasTimeForPrefill = ({
  latencyGoalMs,
  leftMs,
  prefillMs,
  slowness = 1,
}: PrefillTimeOptions): boolean =>
  leftMs >= Math.min(prefillMs * slowness, latencyGoalMs * ASSUMED_GOAL_FRACTION);
