export { createStandInTable } from './createStandInTable';
export type { StandInTable } from './createStandInTable';
