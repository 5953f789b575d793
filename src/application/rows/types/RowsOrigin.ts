/** Where changes came from. */
export interface RowsOrigin {
  readonly source: 'store' | 'peer';
  /** True: all rows of a store that came back from a copy; some may be older than those known before. */
  readonly isRestored: boolean;
  /** Monotonic time until which the store did not answer, or null if it always did. */
  readonly outageEndedAtMs: number | null;
}
