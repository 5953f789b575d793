/** What is known of an attempt whose server answers questions, but sends no event. */
export interface EventTimeoutOptions {
  /** True: events of this attempt have come. */
  readonly hasDelivered: boolean;
  /** True: the run could go on from a copy elsewhere. */
  readonly hasCopy: boolean;
  /** True: the server said just now that requests wait there; the run may be one of them. */
  readonly isQueued: boolean;
  readonly gapGoalMs: number;
  readonly latencyGoalMs: number;
  /** Longest time that prompts took to their first event lately. */
  readonly slowestPrefillMs: number;
  /** Time that the first event was expected to take when the prompt was sent; 0 if not known. */
  readonly expectedFirstEventMs: number;
}

/**
 * Part of the longest good pause after which a server is given up where a copy is at hand: its
 * connection may be what is dead, and the rest of the pause is enough to go on elsewhere.
 */
const PAUSE_PART = 0.7;

/** Longest good pauses after which a server is given up where the prompt must be read. */
const UNCOPIED_PAUSES = 3;

/**
 * Part of the latency goal after which a server without a first event is given up: with the prompt
 * read anew elsewhere the answer may still come in time.
 */
const FIRST_EVENT_PART = 0.8;

/**
 * A prompt is not given up before this many times its predicted time. Of 263 first events on three days
 * of trouble one in twenty took more than 1.8 times, one in a hundred more than 2.4 times as long. With
 * the part of the goal alone a prompt of 24,000 tokens, which takes 3.7 s, was read three times.
 */
const PREDICTION_FACTOR = 2;

/**
 * Latency goals for which a place in a queue is kept, before the first event or once a run was put
 * back into the queue. Callers wait for four. Given up sooner, the place is lost, and another one is
 * taken at the end of another queue.
 */
const QUEUED_GOALS = 3;

/**
 * Computes how long a server that answers questions may send no event before the attempt is given
 * up.
 *
 * @returns milliseconds
 *
 * @example
 * // A prompt in a queue.
 * computeEventLimit({
 *   hasDelivered: false, hasCopy: false, isQueued: true,
 *   gapGoalMs: 700, latencyGoalMs: 4500, slowestPrefillMs: 1200, expectedMs: 1000,
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
}: EventTimeoutOptions): number => {
  if (hasDelivered && hasCopy) return gapGoalMs * PAUSE_PART;
  if (isQueued) return latencyGoalMs * QUEUED_GOALS;
  if (hasDelivered) return gapGoalMs * UNCOPIED_PAUSES;
  // Never sooner than reading the prompt takes now and then, where that is long beside the goal.
  return Math.max(
    latencyGoalMs * FIRST_EVENT_PART,
    slowestPrefillMs,
    expectedFirstEventMs * PREDICTION_FACTOR,
  );
};
