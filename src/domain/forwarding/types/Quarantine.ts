/** A request that is not sent to servers any more, as it ended those that ran it. */
export interface Quarantine {
  readonly fingerprint: string;
  /** Incarnations of the servers that ended under it. */
  readonly servers: readonly string[];
  /** When the last of them did, in milliseconds of the caller's choice of clock. */
  readonly lastCrashAtMs: number;
}
