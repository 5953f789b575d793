export { chooseZoneLoads } from './chooseZoneLoads';
export { computeOtherRequests } from './computeOtherRequests';
export { computePartAgeMs } from './computePartAgeMs';
export { limitLoadBytes, MAX_LOAD_BYTES, type LimitedLoad } from './limitLoadBytes';
export { mergeLoadPart } from './mergeLoadPart';
export { rankCollectors, type CollectorCandidate } from './rankCollectors';
export { PART_TTL_MS, sumLoadParts, type LoadSum } from './sumLoadParts';
export type { HeldPart, LoadPart, ServiceLoad } from './types';
