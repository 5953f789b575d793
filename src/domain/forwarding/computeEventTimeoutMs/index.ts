/** State of an attempt whose server answers status queries but sends no event. */
export interface EventTimeoutOptions {
  /** True if events of this attempt have arrived. */
  readonly hasDelivered: boolean;
  /** True if another server has a copy of the run's KV cache, from which the run can continue. */
  readonly hasCopy: boolean;
  /** True if the server's latest report lists waiting requests; the run may be one of them. */
  readonly isQueued: boolean;
  readonly gapGoalMs: number;
  readonly latencyGoalMs: number;
  /** Longest recent time from sending a prompt to its first event. */
  readonly slowestPrefillMs: number;
  /** Time to the first event as predicted when the prompt was sent; 0 if unknown. */
  readonly expectedFirstEventMs: number;
  /** How long work takes on the server now, relative to what is usual for its service; 1 by default. */
  readonly slowness?: number;
}

/**
 * Timeout of a run with a copy, in gap goals. The connection may be dead although the server is
 * alive; the rest of the gap goal is enough to continue on the copy's server.
 */
const COPIED_GAP_GOALS = 0.7;

/** Timeout of a run without a copy, in gap goals: another server has to repeat the prefill. */
const UNCOPIED_GAP_GOALS = 3;

/**
 * Timeout of the first event, in latency goals. A retry with a new prefill on another server may
 * still meet the goal.
 */
const FIRST_EVENT_GOALS = 0.8;

/**
 * Shortest timeout of the first event, in predicted times. Of 263 first events under failures, 5%
 * took more than 1.8 times and 1% more than 2.4 times the prediction. With `FIRST_EVENT_GOALS`
 * alone, a prompt of 24,000 tokens, whose prefill takes 3.7 s, was prefilled three times.
 */
const PREDICTION_FACTOR = 2;

/**
 * Timeout of a queued run, in latency goals, before its first event or after the engine requeued
 * it. Callers wait for four. A shorter timeout gives up the place in the queue for the last place
 * in another one.
 */
const QUEUED_GOALS = 3;

/**
 * Computes how long a server that answers status queries may send no event before the attempt is
 * given up.
 *
 * @returns milliseconds
 *
 * @example
 * // A queued prompt.
 * computeEventTimeoutMs({
 *   hasDelivered: false, hasCopy: false, isQueued: true,
 *   gapGoalMs: 700, latencyGoalMs: 4500, slowestPrefillMs: 1200, expectedFirstEventMs: 1000,
 * }); // 13500
 */
export const computeEventTimeoutMs = ({
  gapGoalMs,
  hasCopy,
  hasDelivered,
  isQueued,
  latencyGoalMs,
  expectedFirstEventMs,
  slowestPrefillMs,
  slowness = 1,
}: EventTimeoutOptions): number => {
  if (hasDelivered && hasCopy) return gapGoalMs * COPIED_GAP_GOALS;
  if (isQueued) return latencyGoalMs * QUEUED_GOALS;
  if (hasDelivered) return gapGoalMs * UNCOPIED_GAP_GOALS;
  // Prefill of a long prompt may take longer than the latency goal allows.
  return Math.max(
    latencyGoalMs * FIRST_EVENT_GOALS,
    slowestPrefillMs * Math.max(1, slowness),
    expectedFirstEventMs * PREDICTION_FACTOR,
  );
};
