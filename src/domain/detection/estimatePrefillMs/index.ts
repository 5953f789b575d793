import type { FirstTokenSample } from '../types';

/** Time that a prompt takes by one sample: a longer prompt than the sample's takes longer. */
const scaleSample = (sample: FirstTokenSample, promptCharacters: number): number =>
  sample.firstTokenMs * Math.max(1, promptCharacters / Math.max(1, sample.promptCharacters));

/**
 * Estimates how long a prompt usually takes to read: the median of first-token times seen lately.
 *
 * @returns milliseconds; infinite while none has been seen
 *
 * @example
 * estimatePrefillMs([{ firstTokenMs: 900, promptCharacters: 100 }], 200); // 1800
 */
export const estimatePrefillMs = (
  samples: readonly FirstTokenSample[],
  promptCharacters: number,
): number => {
  const sorted = samples
    .map((sample) => scaleSample(sample, promptCharacters))
    .sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? Infinity;
};
