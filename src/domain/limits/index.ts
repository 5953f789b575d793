export {
  computePermitLevel,
  PERMIT_WINDOW_MS,
  type PermitLevelOptions,
} from './computePermitLevel';
export { decidePermit, type PermitOptions } from './decidePermit';
export { rankLimitKeepers, type KeeperCandidate } from './rankLimitKeepers';
export type { PermitDecision, SharedLimit } from './types';
