export {
  computeTokenBucketLevel,
  PERMIT_WINDOW_MS,
  type TokenBucketOptions,
} from './computeTokenBucketLevel';
export { decidePermit, type PermitOptions } from './decidePermit';
export { rankLimitOwners, type OwnerCandidate } from './rankLimitOwners';
export type { PermitDecision, SharedLimit } from './types';
