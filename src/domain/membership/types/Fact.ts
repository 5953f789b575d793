import type { Suspicion } from '../../types';
import type { LoadFact, ServerStateFact } from './LoadFact';
import type { PeerRecord } from './PeerRecord';

/** A VM's record; passed on when it changes. */
export interface PeerFact {
  readonly kind: 'peer';
  readonly record: PeerRecord;
}

/** Sign of life of a VM, passed on from VM to VM. */
export interface HeartbeatFact {
  readonly kind: 'pulse';
  /** `computeNameId` of the VM's name. */
  readonly id: number;
  /** Lowest 8 bits of the incarnation that beat. */
  readonly incarnationTag: number;
  readonly beats: number;
}

/** How many VMs of a region are heard there; stands for their pulses in other regions. */
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

/** A backend server that leaves. */
export interface LeavingFact {
  readonly kind: 'leaving';
  readonly backendServer: string;
}

/** A backend server that the sender saw serving again. */
export interface RecoveryFact {
  readonly kind: 'recovery';
  readonly backendServer: string;
}

/** Attempts that the sender itself has running on a server. */
export interface RunningAttemptsFact {
  readonly kind: 'send';
  /** `computeNameId` of the server's name. */
  readonly id: number;
  readonly running: number;
}

/** One thing that a VM tells another. */
export type Fact =
  | PeerFact
  | HeartbeatFact
  | RegionFact
  | SuspicionFact
  | LeavingFact
  | RecoveryFact
  | RunningAttemptsFact
  | ServerStateFact
  | LoadFact;
