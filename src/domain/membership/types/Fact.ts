import type { SharedOutcome } from '../../crashes';
import type { Suspicion } from '../../types';
import type { LoadFact, ServerStateFact } from './LoadFact';
import type { PeerRecord } from './PeerRecord';

/** The record of a VM; sent when it changes. */
export interface PeerFact {
  readonly kind: 'peer';
  readonly record: PeerRecord;
}

/** A heartbeat of a VM, forwarded by other VMs. */
export interface HeartbeatFact {
  readonly kind: 'pulse';
  /** Id of the VM, from `computeNameId`. */
  readonly id: number;
  /** Lowest 8 bits of the incarnation that sent the heartbeat. */
  readonly incarnationTag: number;
  /** Number of heartbeats of that incarnation so far. */
  readonly beats: number;
}

/** Number of live VMs in a region; replaces their heartbeats in news to other regions. */
export interface RegionFact {
  readonly kind: 'region';
  readonly region: string;
  readonly heard: number;
  /** Age of the count, in milliseconds. */
  readonly ageMs: number;
}

/** Evidence against a backend server. */
export interface SuspicionFact {
  readonly kind: 'suspicion';
  readonly suspicion: Suspicion;
}

/** A backend server that is shutting down. */
export interface LeavingFact {
  readonly kind: 'leaving';
  readonly backendServer: string;
}

/** A backend server that the sender observed to be serving again. */
export interface RecoveryFact {
  readonly kind: 'recovery';
  readonly backendServer: string;
}

/** Number of attempts that the sender itself runs on a backend server. */
export interface RunningAttemptsFact {
  readonly kind: 'send';
  /** Id of the server, from `computeNameId`. */
  readonly id: number;
  readonly running: number;
}

/** How an engine fared under a request that is suspected of crashing engines. */
export interface CrashFact extends SharedOutcome {
  readonly kind: 'crash';
}

/** A piece of information that one VM sends to another. */
export type Fact =
  | PeerFact
  | HeartbeatFact
  | RegionFact
  | SuspicionFact
  | LeavingFact
  | CrashFact
  | RecoveryFact
  | RunningAttemptsFact
  | ServerStateFact
  | LoadFact;
