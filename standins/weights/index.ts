export { createStandInWeightStore } from './createStandInWeightStore';
export type { StandInWeightStore, StandInWeightStoreOptions } from './createStandInWeightStore';
