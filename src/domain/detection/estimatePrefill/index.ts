import type { FirstTokenSample } from '../types';

/** Estimated prefill times in milliseconds; infinite while there are too few samples. */
export interface PrefillEstimate {
  /** Prefill time of the given prompt, by its length, on an otherwise idle server. */
  readonly ownMs: number;
  /** Median prefill time of other prompts. */
  readonly usualMs: number;
}

/** Quantile of the samples without queueing time: the slower ones waited in a queue as well. */
const UNDISTURBED_QUANTILE = 0.25;

/** Fewer samples are not representative: a cached prompt takes a tenth of the usual time. */
const MIN_SAMPLES = 4;

const findQuantile = (values: readonly number[], fraction: number): number =>
  values.length < MIN_SAMPLES
    ? Infinity
    : ([...values].sort((left, right) => left - right)[Math.floor(values.length * fraction)] ??
      Infinity);

/**
 * Estimates the prefill time of a prompt from recent first-token times.
 *
 * @param samples - latest samples, in any order
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
    UNDISTURBED_QUANTILE,
  ),
  usualMs: findQuantile(
    samples.map(({ firstTokenMs }) => firstTokenMs),
    0.5,
  ),
});
