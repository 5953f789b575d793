import type { ServerEntry, ServerStatus } from '../../../domain/forwarding';
import type { RolloutTallies, RolloutVerdict } from '../../../domain/rollouts';

export type { TrackedRollout } from './TrackedRollout';

/** How an attempt at a server ended. */
export interface AttemptOutcome {
  readonly isFailure: boolean;
  /** Time it took, in any unit that is the same for all requests of the route; null if it says nothing. */
  readonly duration: number | null;
}

/** The servers that one request may go to, as roll-outs allow. */
export interface EligibleServers {
  /** Servers that may take its next attempt. */
  list(): readonly ServerStatus[];
  /** Servers that may hold a copy of its run at a server. */
  listHolders(source: ServerEntry): readonly ServerStatus[];
  /** True: what runs at this server tries a new version, and leaves no copy elsewhere. */
  isTrial(server: ServerEntry): boolean;
  /** True: a new attempt may go there now. */
  isAllowed(server: ServerEntry): boolean;
  /** An attempt is sent. */
  recordSent(server: ServerEntry): void;
  recordOutcome(server: ServerEntry, outcome: AttemptOutcome): void;
}

/** What one VM tells the judge of a roll-out: all that it has seen since the order. */
export interface TrialReport {
  /** Name of the VM and of this start of its process. */
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

/** Takes and gives verdicts, for gossip. */
export interface VerdictGossip {
  /** True if it was news. */
  mergeVerdict(verdict: RolloutVerdict): boolean;
  listVerdicts(): readonly RolloutVerdict[];
}
