export { computePaceValue } from './computePaceValue';
export { computeSlowness, type PacedWork } from './computeSlowness';
export { computeWorkFactor } from './computeWorkFactor';
export { mergePaceEstimates } from './mergePaceEstimates';
export { updatePaceEstimate } from './updatePaceEstimate';
export * from './types';
