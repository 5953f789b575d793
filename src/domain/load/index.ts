export { addToAverage } from './addToAverage';
export { addToLowEstimate } from './addToLowEstimate';
export { computeFreshness } from './computeFreshness';
export { computeTrust, LOWEST_TRUST } from './computeTrust';
export { estimateRunning } from './estimateRunning';
export type { RunningKnowledge } from './estimateRunning';
export { isNewerReport } from './isNewerReport';
