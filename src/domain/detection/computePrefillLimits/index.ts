import type { FirstTokenSample, SilenceLimits } from '../types';

/** Limit while no first token of the service has been seen. */
const UNKNOWN_SUSPECT_MS = 10_000;

const MIN_SUSPECT_MS = 300;
const MAX_SUSPECT_MS = 60_000;

/** Room above the slowest prefill seen: load in the engine varies more than the prompt. */
const SAFETY_FACTOR = 3;
const CONFIRM_FACTOR = 2;

/** Shortest prefill after which a server that counts as dead by other evidence is given up. */
const MIN_SHARED_SUSPECT_MS = 60;

const estimatePrefillMs = (sample: FirstTokenSample, promptCharacters: number): number =>
  sample.firstTokenMs * Math.max(1, promptCharacters / Math.max(1, sample.promptCharacters));

/**
 * Computes how long a prefill may take, from first-token times seen for the same service.
 *
 * @param samples - Newest samples, in any order.
 * @param promptCharacters - Length of this prompt; a longer one than any seen gets more time.
 * @param options.serverDead - True if other evidence says that the server is dead.
 * @returns Limits in milliseconds.
 */
export const computePrefillLimits = (
  samples: readonly FirstTokenSample[],
  promptCharacters: number,
  options: { readonly isServerDead: boolean },
): SilenceLimits => {
  const slowestMs = Math.max(
    0,
    ...samples.map((sample) => estimatePrefillMs(sample, promptCharacters)),
  );
  if (options.isServerDead) {
    const sharedMs = Math.max(MIN_SHARED_SUSPECT_MS, Math.min(slowestMs, MAX_SUSPECT_MS));
    return { suspectMs: sharedMs, confirmMs: sharedMs };
  }
  const wantedMs = samples.length === 0 ? UNKNOWN_SUSPECT_MS : slowestMs * SAFETY_FACTOR;
  const suspectMs = Math.min(MAX_SUSPECT_MS, Math.max(MIN_SUSPECT_MS, wantedMs));
  return { suspectMs, confirmMs: suspectMs * CONFIRM_FACTOR };
};
