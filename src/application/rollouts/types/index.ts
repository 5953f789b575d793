import type { ServerEntry, ServerStatus } from '../../../domain/forwarding';
import type { RolloutTallies, RolloutVerdict } from '../../../domain/rollouts';

export type { TrackedRollout } from './TrackedRollout';

/** Outcome of an attempt at a server. */
export interface AttemptOutcome {
  readonly isFailure: boolean;
  /**
   * Duration in any unit that is the same for all requests of the route; null if it says nothing
   * about the speed of the server.
   */
  readonly duration: number | null;
}

/** The servers that rollouts allow for one request. */
export interface EligibleServers {
  /** Servers that may get the next attempt. */
  list(): readonly ServerStatus[];
  /** Servers that may hold a backup of the run at `source`. */
  listHolders(source: ServerEntry): readonly ServerStatus[];
  /** True if a run at this server is a trial of a new version; a trial has no backups. */
  isTrial(server: ServerEntry): boolean;
  /** True if a new attempt may be sent to the server now. */
  isAllowed(server: ServerEntry): boolean;
  /** Records that an attempt was sent to the server. */
  recordSent(server: ServerEntry): void;
  recordOutcome(server: ServerEntry, outcome: AttemptOutcome): void;
}

/** Report of one VM to the judge of a rollout: its cumulative tallies since the order. */
export interface TrialReport {
  /** Name of the VM and incarnation of its process. */
  readonly sender: string;
  readonly service: string;
  readonly sequence: number;
  readonly tallies: RolloutTallies;
}

/** Another VM. */
export interface RolloutPeer {
  readonly vm: string;
  readonly address: string;
}

/** Merges and lists verdicts, for gossip. */
export interface VerdictGossip {
  /** Returns true if the verdict replaced an older one. */
  mergeVerdict(verdict: RolloutVerdict): boolean;
  listVerdicts(): readonly RolloutVerdict[];
}
