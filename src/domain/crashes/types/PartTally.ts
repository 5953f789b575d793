/** Runs of one VM that no crash ended. */
export interface VmRuns {
  /** Complete runs with a prompt part. */
  readonly runs: number;
  /** Those without it. */
  readonly otherRuns: number;
  /** Time that runs with it spent at servers, complete or not, in milliseconds. */
  readonly runMs: number;
  /** The same without it. */
  readonly otherRunMs: number;
}

/** Runs of many VMs since the first crash under a prompt part. */
export interface PartTally {
  /** Fingerprint of the part. */
  readonly part: string;
  /** Time since that crash, in milliseconds. */
  readonly ageMs: number;
  /** By the id of the VM's name (`computeNameId`). */
  readonly runsByVm: ReadonlyMap<number, VmRuns>;
}
