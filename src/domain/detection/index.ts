export { computeInitialGapStatistics } from './computeInitialGapStatistics';
export { estimatePrefill, type PrefillEstimate } from './estimatePrefill';
export { computePrefillLimits } from './computePrefillLimits';
export { computeProbeDelayMs } from './computeProbeDelayMs';
export { computeSilenceLimits } from './computeSilenceLimits';
export { NO_GAPS, updateGapStatistics } from './updateGapStatistics';
export type { FirstTokenSample, GapStatistics, SilenceLimits } from './types';
