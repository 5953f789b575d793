export { createGossip, type Gossip } from './createGossip';
export type {
  GossipCalls,
  Knowledge,
  Member,
  PassedOutcomes,
  PassedRows,
  SharedSuspicion,
  TableChanges,
} from './types';
