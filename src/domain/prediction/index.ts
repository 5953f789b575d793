export { addOutputSample, MAX_SAMPLES } from './addOutputSample';
export { COVERED_PART, predictOutputTokens } from './predictOutputTokens';
export type { OutputSamples } from './types';
