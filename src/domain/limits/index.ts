export {
  computePermitLevel,
  PERMIT_WINDOW_MS,
  type PermitLevelOptions,
} from './computePermitLevel';
export { decidePermit, type PermitOptions } from './decidePermit';
export { rankLimitOwners, type OwnerCandidate } from './rankLimitOwners';
export type { PermitDecision, SharedLimit } from './types';
