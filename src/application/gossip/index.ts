export { createGossip, type Gossip } from './createGossip';
export type {
  GossipCalls,
  Knowledge,
  Member,
  RelayedOutcomes,
  RelayedRows,
  SharedSuspicion,
  TableChanges,
} from './types';
