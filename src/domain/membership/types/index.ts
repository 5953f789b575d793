export type {
  Fact,
  LeavingFact,
  PeerFact,
  PulseFact,
  RecoveryFact,
  RegionFact,
  SendFact,
  SuspicionFact,
} from './Fact';
export type { LoadFact, ServerStateFact } from './LoadFact';
export type { News } from './News';
export type { PeerRecord } from './PeerRecord';
