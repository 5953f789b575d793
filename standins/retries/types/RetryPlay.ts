/** What happens to the VMs of a simulation. */
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
  /** VMs are suspended, which their monotonic clocks do not count. */
  | 'suspensions';

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
  readonly troubles: readonly RetryTrouble[];
}
