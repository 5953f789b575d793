/** What the timeout of one attempt of a repeatable call depends on. */
export interface AttemptTimeOptions {
  /** Time left until the caller's deadline. */
  readonly leftMs: number;
  readonly latencyGoalMs: number;
  /** How long work takes on the server now, relative to what is usual for its service. */
  readonly slowness: number;
}

/** Timeout of an attempt, as a multiple of the latency goal. */
const ATTEMPT_GOAL_FACTOR = 1.5;

/**
 * Minimum timeout of an attempt: servers take up to five times the usual time for some requests.
 */
const MIN_ATTEMPT_MS = 120;

/** Fraction of the remaining time that an attempt may take while another attempt can follow. */
const ATTEMPT_TIME_FRACTION = 0.6;

/**
 * Computes the timeout of an attempt of a call that another attempt can follow.
 *
 * A slow server gets more time: a second attempt while the first one runs is more load for servers
 * that are slow already.
 *
 * @example
 * computeAttemptMs({ leftMs: 1000, latencyGoalMs: 100, slowness: 2 }); // 300
 */
export const computeAttemptMs = ({
  latencyGoalMs,
  leftMs,
  slowness,
}: AttemptTimeOptions): number => {
  const goalMs = Math.max(MIN_ATTEMPT_MS, latencyGoalMs * ATTEMPT_GOAL_FACTOR);
  return Math.min(goalMs * Math.max(1, slowness), leftMs * ATTEMPT_TIME_FRACTION);
};
