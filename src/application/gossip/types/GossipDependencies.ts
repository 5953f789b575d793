import type { ServerEntry } from '../../../domain/forwarding';
import type { GossipedLimits } from '../../limits';
import type { Clock, EventLog, Randomness } from '../../ports';
import type { VerdictGossip } from '../../rollouts';
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
  readonly verdicts: VerdictGossip;
  /** Rate limits of servers. */
  readonly limits: GossipedLimits;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
  /** Handles a suspicion of another VM. */
  readonly handleSuspicion: (suspicion: SharedSuspicion) => void;
  /** Handles a server without an entry that another VM found. */
  readonly handleInferred: (server: ServerEntry) => void;
}
