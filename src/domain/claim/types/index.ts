export type { ClaimReply, StoredClaim } from './ClaimReply';
export type { Claimant } from './Claimant';
export type { ClaimStep } from './ClaimStep';
