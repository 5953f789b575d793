export { computeInitialGaps } from './computeInitialGaps';
export { estimatePrefill, type PrefillEstimate } from './estimatePrefill';
export { computePrefillLimitMs } from './computePrefillLimitMs';
export { computeProbeDelayMs } from './computeProbeDelayMs';
export { computeSilenceLimitMs } from './computeSilenceLimitMs';
export { NO_GAPS, updateGapStatistics } from './updateGapStatistics';
export type { FirstTokenSample, GapStatistics, SilenceLimits } from './types';
