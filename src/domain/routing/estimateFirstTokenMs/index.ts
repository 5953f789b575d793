/** Inputs of the estimated time to the first token on one server. */
export interface FirstTokenInputs {
  /** Requests on the server, running and waiting. */
  readonly running: number;
  readonly slots: number;
  /** Mean time for which one request holds a slot, in milliseconds. */
  readonly holdMs: number;
  /** True if the engine serves the request before waiting ones. */
  readonly skipsQueue: boolean;
  readonly promptTokens: number;
  /** Prompt tokens expected to be in the prefix cache. */
  readonly cachedTokens: number;
  readonly prefillMsPerToken: number;
  /** Round trip to the server's availability zone, in milliseconds. */
  readonly zoneRoundTripMs: number;
  /** Speed relative to comparable servers; 1 is normal, lower is slower. */
  readonly speed: number;
}

/** Relative slowdown of a prefill by a full batch: it shares the engine with running streams. */
const BATCH_SLOWDOWN = 1;

/** Lower bound of the speed, which keeps the estimate for a stuck server finite. */
const MIN_SPEED = 0.01;

/**
 * Estimates the time from sending a request to its first token.
 *
 * @returns milliseconds
 */
export function estimateFirstTokenMs(inputs: FirstTokenInputs): number {
  const { running, slots, holdMs, zoneRoundTripMs } = inputs;
  const queued = running - slots + 1;
  const turns = inputs.skipsQueue ? Math.min(queued, 1) : queued;
  const queueMs = queued > 0 ? (turns * holdMs) / slots : 0;
  const uncached = Math.max(1, inputs.promptTokens - inputs.cachedTokens);
  const slowdown = 1 + BATCH_SLOWDOWN * Math.min(1, running / slots);
  const prefillMs = uncached * inputs.prefillMsPerToken * slowdown;
  return (queueMs + prefillMs) / Math.max(MIN_SPEED, inputs.speed) + zoneRoundTripMs;
}
