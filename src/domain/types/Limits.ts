/** Limits of a deployment, all checked and with defaults. */
export interface Limits {
  readonly maxBodyBytes: number;
  /** Long requests that may wait for one place at one entry. */
  readonly maxQueuedLong: number;
  /** Part of each backend server's slots kept for lookups, 0 to 1. */
  readonly lookupReserve: number;
  /** Extra attempts allowed, as a part of first attempts, 0 to 1. */
  readonly retryBudget: number;
  /** Longest time a shutdown waits for running work, in milliseconds. */
  readonly drainMs: number;
  /** How long a finished keyed answer is kept, in milliseconds. */
  readonly answerTtlMs: number;
  /** How long an entry keeps a running generation without a connected caller, in milliseconds. */
  readonly detachedMs: number;
}
