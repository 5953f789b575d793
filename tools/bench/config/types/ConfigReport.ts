/** Last line of the bench. Times in milliseconds unless named otherwise. */
export interface ConfigReport {
  /** Versions accepted. */
  readonly applied: number;
  /** From the accepted apply until the version is in force at every running entry. */
  readonly inForceMs: { readonly p50: number; readonly p99: number; readonly max: number };
  /** Times that an entry went to a lower version, also across a restart. */
  readonly reverts: number;
  /** Accepted changes that are not in the history or not in the last configuration. */
  readonly conflictsLost: number;
  readonly outageSeconds: number;
  /** Idempotent requests that failed while the table was out. */
  readonly requestsFailedInOutage: number;
}
