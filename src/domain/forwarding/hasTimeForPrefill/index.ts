/**
 * Part of the latency goal that a prompt takes at least while no pace is known: goals leave room
 * for a queue and for a second attempt.
 */
const LEAST_PART = 0.25;

/** What is known of a prompt that must be read. */
export interface PrefillTimeOptions {
  /** What is left of the caller's time. */
  readonly leftMs: number;
  readonly latencyGoalMs: number;
  /** How long it takes at a server that reads nothing else; infinite if that is not known. */
  readonly prefillMs: number;
}

/**
 * Tells whether a first event can come before the caller stops waiting.
 *
 * A prompt that is sent with less time left is read in vain, and its caller is told late what could
 * be said at once.
 *
 * @example
 * hasTimeToRead({ leftMs: 600, latencyGoalMs: 4500, prefillMs: 1000 }); // false
 */
export const hasTimeForPrefill = ({
  latencyGoalMs,
  leftMs,
  prefillMs,
}: PrefillTimeOptions): boolean => leftMs >= Math.min(prefillMs, latencyGoalMs * LEAST_PART);
