export type { ClaimReply, StoredClaim } from './ClaimReply';
export type { ClaimSeed } from './ClaimSeed';
export type { ClaimStep } from './ClaimStep';
