import type { ServerEntry } from '../../../domain/forwarding';
import type { GossipedLimits } from '../../limits';
import type { Clock, EventLog, Randomness } from '../../ports';
import type { VerdictGossip } from '../../rollouts';
import type { GossipCalls, Member, RelayedOutcomes, RelayedRows, SharedSuspicion } from '.';

/** What gossip needs. */
export interface GossipDependencies {
  readonly self: Omit<Member, 'ageMs'>;
  /** Peer addresses to begin with; some may be stale. */
  readonly seedAddresses: readonly string[];
  readonly calls: GossipCalls;
  /** Followers whose rows are passed on, by table. */
  readonly followers: ReadonlyMap<string, RelayedRows>;
  /** What is known of requests that end their servers. */
  readonly outcomes: RelayedOutcomes;
  /** What is known of roll-outs. */
  readonly verdicts: VerdictGossip;
  /** What is known of servers' rate limits. */
  readonly limits: GossipedLimits;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
  /** Takes a suspicion that another VM has. */
  readonly handleSuspicion: (suspicion: SharedSuspicion) => void;
  /** Takes a server without an entry that another VM met. */
  readonly handleInferred: (server: ServerEntry) => void;
}
