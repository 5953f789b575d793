export { updateMovingAverage } from './updateMovingAverage';
export { updateUndisturbedEstimate } from './updateUndisturbedEstimate';
export { computeFreshness } from './computeFreshness';
export { computeRemainingFraction } from './computeRemainingFraction';
export { computePrefixTrust, MIN_PREFIX_TRUST } from './computePrefixTrust';
export { estimateRunningRequests } from './estimateRunningRequests';
export type { RequestCounts } from './estimateRunningRequests';
export { isNewerReport } from './isNewerReport';
