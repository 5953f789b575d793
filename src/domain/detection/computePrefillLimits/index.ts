import type { FirstTokenSample, SilenceLimits } from '../types';

/** Limit while the service has no samples. */
const UNKNOWN_SUSPECT_MS = 10_000;

const MIN_SUSPECT_MS = 300;
const MAX_SUSPECT_MS = 60_000;

/** Factor on the slowest prefill: the load of an engine varies more than the length of prompts. */
const SAFETY_FACTOR = 3;

/** A suspicion is confirmed after this many times its own limit. */
const CONFIRM_FACTOR = 2;

/** Shortest limit if other evidence says that the server is dead. */
const MIN_DEAD_SERVER_MS = 60;

const estimatePrefillMs = (sample: FirstTokenSample, promptCharacters: number): number =>
  sample.firstTokenMs * Math.max(1, promptCharacters / Math.max(1, sample.promptCharacters));

/**
 * Computes how long a prefill may take, from the first-token times of the same service.
 *
 * @param samples - latest samples, in any order
 * @param promptCharacters - length of the prompt; longer prompts than the samples' get more time
 * @param options.isServerDead - true if other evidence says that the server is dead
 * @returns limits in milliseconds
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
    const deadServerMs = Math.max(MIN_DEAD_SERVER_MS, Math.min(slowestMs, MAX_SUSPECT_MS));
    return { suspectMs: deadServerMs, confirmMs: deadServerMs };
  }
  const limitMs = samples.length === 0 ? UNKNOWN_SUSPECT_MS : slowestMs * SAFETY_FACTOR;
  const suspectMs = Math.min(MAX_SUSPECT_MS, Math.max(MIN_SUSPECT_MS, limitMs));
  return { suspectMs, confirmMs: suspectMs * CONFIRM_FACTOR };
};
