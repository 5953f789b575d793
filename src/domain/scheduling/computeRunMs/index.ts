import type { ServerPace } from '../../paces';
import type { StreamDemand } from '../types';

/** Inputs of the duration besides the server's pace. */
export interface RunOptions extends Pick<StreamDemand, 'outputTokens' | 'promptTokens'> {
  /** Runs on the server, including the new one. */
  readonly runs: number;
  /** Time from the call to the first event that callers accept. */
  readonly goalMs: number;
}

/** Prefill time while the pace is unknown, as a fraction of the goal. */
const UNKNOWN_GOAL_FRACTION = 0.25;

/** Durations of a stream on a server. */
export interface RunDuration {
  /** Prefill of the prompt without other prefills. */
  readonly prefillMs: number;
  /** From the start of the prefill to the end of the output. */
  readonly runMs: number;
}

/**
 * Computes how long a stream takes on a server.
 *
 * A server that always has `runs` runs interleaves each of them with as many prefills during its
 * life. While paces are unknown, the prefill is taken to last a quarter of the goal and the decoding
 * as long as the goal.
 */
export const computeRunMs = (
  { decodeMsPerToken, prefillMsPerToken, workFactor }: ServerPace,
  { goalMs, outputTokens, promptTokens, runs }: RunOptions,
): RunDuration => {
  const prefillMs =
    (prefillMsPerToken > 0 ? promptTokens * prefillMsPerToken : goalMs * UNKNOWN_GOAL_FRACTION) *
    workFactor;
  const decodeMs = (decodeMsPerToken > 0 ? outputTokens * decodeMsPerToken : goalMs) * workFactor;
  return { prefillMs, runMs: decodeMs + runs * prefillMs };
};
