import type { SharedLimit } from '../../../domain/limits';
import type { PartTally, SharedOutcome } from '../../../domain/crashes';
import type { ServerEntry } from '../../../domain/forwarding';
import type { SharedRow } from '../../ports';
import type { RolloutVerdict } from '../../../domain/rollouts';
import type { RowFollower } from '../../rows';

export type { GossipDependencies } from './GossipDependencies';

/** A VM as other VMs know it. */
export interface Member {
  readonly vm: string;
  /** IP:PORT of its peer address. */
  readonly address: string;
  readonly availabilityZone: string;
  /** Processor share; 0 if it is not known. */
  readonly cores: number;
  /** Time since the VM was last heard of, in milliseconds. */
  readonly ageMs: number;
}

/** Changes of a table that follow `after` without a gap, up to `version`. */
export interface TableChanges {
  readonly table: string;
  readonly after: number;
  readonly version: number;
  readonly rows: readonly SharedRow[];
}

/** A backend server that failed at some VM. */
export interface SharedSuspicion {
  readonly server: string;
  readonly cause: string;
  readonly ageMs: number;
}

/** When a VM sent a message, on its own monotonic clock. */
export interface SendingTime {
  /** Tells apart the processes of a VM, whose clocks begin anew. */
  readonly run: number;
  readonly atMs: number;
}

/** Gossip message from one VM to another. */
export interface Knowledge {
  readonly sender: Member;
  /** Null if the sender does not say. */
  readonly sent: SendingTime | null;
  /** VMs that the receiver may not know yet. */
  readonly members: readonly Member[];
  /** Whether the response should list the VMs heard of, which are most of a message's bytes. */
  readonly isMembersAsked: boolean;
  /**
   * VMs heard of recently: age in milliseconds by the id of the name (`computeNameId`). Only in
   * requests with `isMembersAsked` and their responses.
   */
  readonly heard: ReadonlyMap<number, number>;
  /** For each table that the sender cannot read itself: the version up to which it is complete. */
  readonly versions: ReadonlyMap<string, number>;
  readonly changes: readonly TableChanges[];
  readonly suspicions: readonly SharedSuspicion[];
  /** Servers found at the address of a server that ended, without an entry in the table yet. */
  readonly inferred: readonly ServerEntry[];
  /** Whether servers crashed or answered while they ran requests suspected of crashing servers. */
  readonly outcomes: readonly SharedOutcome[];
  /**
   * Digest of the outcomes known to the sender; a receiver with other outcomes returns its own. Only in
   * requests with `isMembersAsked`; 0 in other messages.
   */
  readonly outcomesDigest: number;
  /**
   * Complete runs with and without suspected prompt parts. Only in requests with `isMembersAsked` and
   * their responses.
   */
  readonly tallies: readonly PartTally[];
  /** Roll-outs whose state changed recently. */
  readonly verdicts: readonly RolloutVerdict[];
  /** Rate limits stated by servers, and those lifted recently. */
  readonly limits: readonly SharedLimit[];
}

/** Gossip calls to other VMs. */
export interface GossipCalls {
  /** Sends a message and returns the other VM's response; null if it does not answer in time. */
  exchangeKnowledge(address: string, knowledge: Knowledge): Promise<Knowledge | null>;
}

/** The part of the crash history that gossip uses. */
export interface RelayedOutcomes {
  /** Merges an outcome; true if it was not known. */
  mergeOutcome(outcome: SharedOutcome): boolean;
  listOutcomes(): readonly SharedOutcome[];
  /** Lists the complete runs with and without suspected prompt parts. */
  listTallies(ownId: number): readonly PartTally[];
  /** Merges those of another VM. */
  mergeTallies(tallies: readonly PartTally[], ownId: number): void;
}

/** The part of a row follower that gossip uses to relay its rows. */
export type RelayedRows = Pick<
  RowFollower,
  'isStoreReachable' | 'listChanges' | 'mergeChanges' | 'readVersion'
>;
