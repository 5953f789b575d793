export { addOutputSample, MAX_OUTPUT_SAMPLES } from './addOutputSample';
export { PREDICTION_QUANTILE, predictOutputTokens } from './predictOutputTokens';
export type { OutputLengthSamples } from './types';
