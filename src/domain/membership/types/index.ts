export type {
  CrashFact,
  Fact,
  LeavingFact,
  PeerFact,
  HeartbeatFact,
  RecoveryFact,
  RegionFact,
  RunningAttemptsFact,
  SuspicionFact,
} from './Fact';
export type { LoadFact, ServerStateFact } from './LoadFact';
export type { News } from './News';
export type { PeerRecord } from './PeerRecord';
