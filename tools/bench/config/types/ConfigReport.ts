/** Last line of the bench. Times in milliseconds unless named otherwise. */
export interface ConfigReport {
  /** Number of accepted versions. */
  readonly applied: number;
  /** Time from the accepted apply until the version is in force at every running entry. */
  readonly inForceMs: { readonly p50: number; readonly p99: number; readonly max: number };
  /** Number of times that an entry went back to a lower version, including across a restart. */
  readonly reverts: number;
  /** Accepted changes that are missing from the history or from the latest configuration. */
  readonly conflictsLost: number;
  readonly outageSeconds: number;
  /** Idempotent requests that failed during the outages of the table. */
  readonly requestsFailedInOutage: number;
}
