export { createGossip, type Gossip, type GossipDependencies } from './createGossip';
export type {
  GossipCalls,
  Knowledge,
  Member,
  PassedOutcomes,
  PassedRows,
  SharedSuspicion,
  TableChanges,
} from './types';
