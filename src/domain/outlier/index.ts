export { chooseEjected, EJECTED_PART } from './chooseEjected';
export type { EjectionCandidate } from './chooseEjected';
export { computeSpeedRatio } from './computeSpeedRatio';
export { GOOD_QUALITY } from './types';
export type { ServerQuality } from './types';
export { updateQuality } from './updateQuality';
export type { QualitySign } from './updateQuality';
