/** What the time to the first token at one server depends on. */
export interface FirstTokenInputs {
  /** Requests at the server, running and waiting. */
  readonly running: number;
  readonly slots: number;
  /** Mean time for which one request holds a slot there, in milliseconds. */
  readonly holdMs: number;
  /** True: the engine serves it before those that wait. */
  readonly skipsQueue: boolean;
  readonly promptTokens: number;
  /** Prompt tokens expected to be in its cache. */
  readonly cachedTokens: number;
  readonly prefillMsPerToken: number;
  /** Round trip to the server's availability zone, in milliseconds. */
  readonly zoneRoundTripMs: number;
  /** Speed relative to comparable servers; 1 is usual, lower is slower. */
  readonly speed: number;
}

/** Slowdown of a prefill by a full batch: it shares the engine with the streams that run. */
const BATCH_SLOWDOWN = 1;

/** Floor of the speed, so that a stuck server gives a large number and not infinity. */
const LOWEST_SPEED = 0.01;

/**
 * Estimates the time from sending a request to its first token.
 *
 * @returns milliseconds
 */
export function estimateFirstTokenMs(inputs: FirstTokenInputs): number {
  const { running, slots, holdMs, zoneRoundTripMs } = inputs;
  const excess = running - slots + 1;
  const turns = inputs.skipsQueue ? Math.min(excess, 1) : excess;
  const queueMs = excess > 0 ? (turns * holdMs) / slots : 0;
  const uncached = Math.max(1, inputs.promptTokens - inputs.cachedTokens);
  const slowdown = 1 + BATCH_SLOWDOWN * Math.min(1, running / slots);
  const prefillMs = uncached * inputs.prefillMsPerToken * slowdown;
  return (queueMs + prefillMs) / Math.max(LOWEST_SPEED, inputs.speed) + zoneRoundTripMs;
}
