/** Validated limits of a deployment, with defaults filled in. */
export interface Limits {
  readonly maxBodyBytes: number;
  /** Most long requests that may wait for one place at one entry. */
  readonly maxQueuedLong: number;
  /** Fraction of the slots of each backend server that is reserved for lookups, 0 to 1. */
  readonly lookupReserve: number;
  /** Extra attempts allowed, as a fraction of first attempts, 0 to 1. */
  readonly retryBudget: number;
  /** Longest time that a shutdown waits for running work, in milliseconds. */
  readonly drainMs: number;
  /** How long a finished answer with an idempotency key is kept, in milliseconds. */
  readonly answerTtlMs: number;
  /** How long an entry keeps a running generation without a connected caller, in milliseconds. */
  readonly detachedMs: number;
}
