export { createStandInObjects } from './createStandInObjects';
export type { StandInObjects } from './createStandInObjects';
