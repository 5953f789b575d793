/** What happens to the VMs of a simulation, to their store and to the servers. */
export type RetryTrouble =
  /** Processes are killed and start again. */
  | 'kills'
  /** VMs are lost for good, and others with new names join. */
  | 'replacements'
  /** VMs are cut off from the store, and its answers are lost. */
  | 'store cuts'
  /** VMs know of only some of the others. */
  | 'partitions'
  /** The store comes back as it was some time before. */
  | 'restored store'
  /** The store comes back as it was before the first VM claimed its part. */
  | 'lost ledger'
  /** VMs are suspended, which their monotonic clocks do not count. */
  | 'suspensions'
  /** VMs stand still and then read all requests of that time. */
  | 'standing VMs'
  /** Servers stand still and then read all attempts of that time. */
  | 'standing servers';

/** Options of a simulation. */
export interface RetryPlay {
  readonly vms: number;
  readonly seed: number;
  readonly durationMs: number;
  /** Requests of all callers in a second. */
  readonly requestsPerS: number;
  /** Repeats that each request would need. */
  readonly repeatsWanted: number;
  /** Longest time from a retry to its arrival. */
  readonly maxArrivalMs: number;
  /** Whether requests come in bursts with nothing between them; true by default. */
  readonly hasBursts?: boolean;
  readonly troubles: readonly RetryTrouble[];
  /** Mean time from one trouble to the next; 4 s by default. */
  readonly troubleEveryMs?: number;
}
