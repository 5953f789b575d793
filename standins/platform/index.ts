export { createStandInPlatform } from './createStandInPlatform';
export type { StandInPlatform } from './createStandInPlatform';
