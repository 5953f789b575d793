export { computePaceValue } from './computePaceValue';
export { computeRelativePace, type PacedWork } from './computeRelativePace';
export { computeWorkFactor } from './computeWorkFactor';
export { mergePaceEstimates } from './mergePaceEstimates';
export { updatePaceEstimate } from './updatePaceEstimate';
export * from './types';
