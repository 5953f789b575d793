import type { FailingServers, ServerFault } from '../createFailingServers';

/** A request that is repeated, and what it does to servers. */
export interface RepeatSimulation {
  readonly seed: number;
  readonly kind: 'call' | 'stream';
  readonly fault: ServerFault;
  /** True if it comes to VMs that have no links to servers. */
  readonly isRelayed: boolean;
  readonly losesRelays?: boolean;
  readonly isFramed: boolean;
  readonly maxAttempts: number;
  /** Event after which the caller goes on; null for a new request. */
  readonly lastEventId?: number | null;
  readonly isScheduled?: boolean;
  /** Time from one repeat to the next. */
  readonly repeatGapMs?: number;
  /** Time after which the caller of the request leaves. */
  readonly patienceMs?: number;
  /** True if the request crashes servers; else it is sound. */
  readonly isBad?: boolean;
  /** What happens to servers and links, by its time. */
  readonly events?: readonly {
    readonly atMs: number;
    readonly run: (world: RepeatWorld) => void;
  }[];
}

/** What an event may change. */
export interface RepeatWorld {
  readonly servers: FailingServers;
  /** VMs without links to servers. */
  readonly cutVms: Set<string>;
}

/** How a repeat ended: the status, or the kind of the refusal. */
export interface RepeatOutcome {
  readonly atMs: number;
  readonly outcome: string;
  readonly retryAfterMs: number;
}

/** What servers and callers saw; times are those since the first repeat. */
export interface RepeatResult {
  readonly arrivedAtMs: readonly number[];
  readonly crashedAtMs: readonly number[];
  readonly repeats: readonly RepeatOutcome[];
  /** Sound requests beside the repeated one, and those of them that were answered. */
  readonly sound: number;
  readonly soundAnswered: number;
}
