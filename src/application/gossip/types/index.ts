import type { SharedLimit } from '../../../domain/limits';
import type { ServerEntry, SharedOutcome } from '../../../domain/forwarding';
import type { SharedRow } from '../../ports';
import type { RolloutVerdict } from '../../../domain/rollouts';
import type { RowFollower } from '../../rows';

export type { GossipDependencies } from './GossipDependencies';

/** A VM as others know it. */
export interface Member {
  readonly vm: string;
  /** IP:PORT of its peer address. */
  readonly address: string;
  readonly availabilityZone: string;
  /** Processor share; 0 if it is not known. */
  readonly cores: number;
  /** How long ago it was heard, in milliseconds. */
  readonly ageMs: number;
}

/** Changes of a table that follow `after` without a gap, up to `version`. */
export interface TableChanges {
  readonly table: string;
  readonly after: number;
  readonly version: number;
  readonly rows: readonly SharedRow[];
}

/** A server that failed somewhere. */
export interface SharedSuspicion {
  readonly server: string;
  readonly cause: string;
  readonly ageMs: number;
}

/** What one VM tells another. */
export interface Knowledge {
  readonly sender: Member;
  /** VMs that the receiver may not know. */
  readonly members: readonly Member[];
  /** Whether the receiver tells in turn which VMs it has heard of; it costs most of a message. */
  readonly isMembersAsked: boolean;
  /** VMs heard of lately, in messages that ask for them and their answers: age in milliseconds, by the id of their name (`computeNameId`). */
  readonly heard: ReadonlyMap<number, number>;
  /** By table that the sender can't read itself: the version up to which it misses no change. */
  readonly versions: ReadonlyMap<string, number>;
  readonly changes: readonly TableChanges[];
  readonly suspicions: readonly SharedSuspicion[];
  /** Servers that were met at the address of one that ended, and have no entry yet. */
  readonly inferred: readonly ServerEntry[];
  /** Servers that ended, or answered, under requests that are suspected. */
  readonly outcomes: readonly SharedOutcome[];
  /** Digest of the outcomes that the sender knows: one that knows others tells them. */
  readonly outcomesDigest: number;
  /** Roll-outs that have come to another state lately. */
  readonly verdicts: readonly RolloutVerdict[];
  /** Rate limits that servers name, and those that ended lately. */
  readonly limits: readonly SharedLimit[];
}

/** Calls to other VMs. */
export interface GossipCalls {
  /** Gives knowledge and takes the other's; null if it does not answer in time. */
  exchangeKnowledge(address: string, knowledge: Knowledge): Promise<Knowledge | null>;
}

/** What gossip asks of the history of crashes. */
export interface RelayedOutcomes {
  /** True if it was news. */
  mergeOutcome(outcome: SharedOutcome): boolean;
  listOutcomes(): readonly SharedOutcome[];
}

/** What gossip asks of a follower whose rows it passes on. */
export type RelayedRows = Pick<
  RowFollower,
  'isStoreReachable' | 'listChanges' | 'mergeChanges' | 'readVersion'
>;
