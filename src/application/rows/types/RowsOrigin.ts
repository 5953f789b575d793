/** Origin of changed rows. */
export interface RowsOrigin {
  readonly source: 'store' | 'peer';
  /**
   * Age of the rows held before, in milliseconds: the news is at the most that old. Infinite if there
   * were none.
   */
  readonly ageMs: number;
  /**
   * Whether these are all rows of a store that was restored from a backup; some may be older than
   * the rows known before.
   */
  readonly isRestored: boolean;
  /** Monotonic time at which the store's newest outage ended, or null if there was none. */
  readonly outageEndedAtMs: number | null;
}
