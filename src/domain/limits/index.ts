export {
  computeTokenBucketLevel,
  PERMIT_WINDOW_MS,
  type TokenBucketOptions,
} from './computeTokenBucketLevel';
export { computeRoomWaitMs, type RoomWaitOptions } from './computeRoomWaitMs';
export { decideRoom, type RoomOptions } from './decideRoom';
export { decidePermit, type PermitOptions } from './decidePermit';
export { rankLimitOwners, type OwnerCandidate } from './rankLimitOwners';
export type { PermitDecision, SharedLimit } from './types';
