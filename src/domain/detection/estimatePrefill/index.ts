import type { FirstTokenSample } from '../types';

/** How long prompts take to read, in milliseconds; infinite while too few have been seen. */
export interface PrefillEstimate {
  /** The prompt in question, by its length, at a server that reads nothing else. */
  readonly ownMs: number;
  /** Some other prompt. */
  readonly usualMs: number;
}

/** Part of the samples that had a server for themselves: the others waited in a queue as well. */
const UNDISTURBED_PART = 0.25;

/** With fewer samples nothing is known: a prompt that was cached takes a tenth of the usual time. */
const MIN_SAMPLES = 4;

const findQuantile = (values: readonly number[], part: number): number =>
  values.length < MIN_SAMPLES
    ? Infinity
    : ([...values].sort((left, right) => left - right)[Math.floor(values.length * part)] ??
      Infinity);

/**
 * Estimates how long a prompt takes to read, from first-token times seen lately.
 *
 * @param samples - newest samples, in any order
 * @param promptCharacters - length of the prompt, in the unit of the samples
 *
 * @example
 * const sample = { firstTokenMs: 900, promptCharacters: 100 };
 * estimatePrefill([sample, sample, sample, sample], 200); // { ownMs: 1800, usualMs: 900 }
 */
export const estimatePrefill = (
  samples: readonly FirstTokenSample[],
  promptCharacters: number,
): PrefillEstimate => ({
  ownMs: findQuantile(
    samples.map((one) => (one.firstTokenMs / Math.max(1, one.promptCharacters)) * promptCharacters),
    UNDISTURBED_PART,
  ),
  usualMs: findQuantile(
    samples.map(({ firstTokenMs }) => firstTokenMs),
    0.5,
  ),
});
