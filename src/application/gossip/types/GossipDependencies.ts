import type { ServerEntry } from '../../../domain/forwarding';
import type { PassedLimits } from '../../limits';
import type { Clock, EventLog, Randomness } from '../../ports';
import type { PassedVerdicts } from '../../rollouts';
import type { GossipCalls, Member, RelayedOutcomes, RelayedRows, SharedSuspicion } from '.';

/** Dependencies of gossip. */
export interface GossipDependencies {
  readonly self: Omit<Member, 'ageMs'>;
  /** Seed addresses for the first exchanges; some may be stale. */
  readonly seedAddresses: readonly string[];
  readonly calls: GossipCalls;
  /** Followers whose rows are relayed, by table. */
  readonly followers: ReadonlyMap<string, RelayedRows>;
  /** Outcomes of requests suspected of crashing servers. */
  readonly outcomes: RelayedOutcomes;
  /** Verdicts on roll-outs. */
  readonly verdicts: PassedVerdicts;
  /** Rate limits of servers. */
  readonly limits: PassedLimits;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
  /** Handles a suspicion of another VM. */
  readonly handleSuspicion: (suspicion: SharedSuspicion) => void;
  /** Handles a server without an entry that another VM found. */
  readonly handleInferred: (server: ServerEntry) => void;
}
