export { createGossip, type Gossip, type GossipDependencies } from './createGossip';
export type { GossipCalls, Knowledge, Member, SharedSuspicion, TableChanges } from './types';
