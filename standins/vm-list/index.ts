export { createStandInVmList } from './createStandInVmList';
export type { StandInVmList } from './createStandInVmList';
