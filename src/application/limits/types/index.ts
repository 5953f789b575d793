export type { LimitPeer } from './LimitPeer';
export type { GossipedLimits } from './GossipedLimits';
export type { PermitRequest } from './PermitRequest';
