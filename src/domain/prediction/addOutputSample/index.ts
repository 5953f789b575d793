import type { OutputLengthSamples } from '../types';

/** Enough samples for a stable quantile, few enough to follow a change within a day. */
export const MAX_OUTPUT_SAMPLES = 128;

/** Adds the output length of a finished generation, in tokens, and drops the oldest samples. */
export function addOutputSample(samples: OutputLengthSamples, tokens: number): OutputLengthSamples {
  return { tokens: [...samples.tokens.slice(-(MAX_OUTPUT_SAMPLES - 1)), tokens] };
}
