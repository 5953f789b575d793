export { chooseServersToEject, MAX_EJECTED_FRACTION } from './chooseServersToEject';
export type { EjectionCandidate } from './chooseServersToEject';
export { computeSpeedRatio } from './computeSpeedRatio';
export { INITIAL_QUALITY } from './types';
export type { ServerQuality } from './types';
export { updateQuality } from './updateQuality';
export type { QualityObservation } from './updateQuality';
