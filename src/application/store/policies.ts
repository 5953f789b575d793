import type { BackoffPolicy, BreakerPolicy, RetryBudgetPolicy } from '../../domain/retry';

/** Deadline, retries and circuit breaker of a client of the platform's store. */
export interface StorePolicy {
  /** Time limit of an operation with all its retries, in milliseconds. */
  readonly deadlineMs: number;
  readonly maxRetries: number;
  readonly backoff: BackoffPolicy;
  readonly budget: RetryBudgetPolicy;
  readonly breaker: BreakerPolicy;
}

/**
 * Policy of the table store. The deadline leaves time for one lost call (300 ms) and a retry. The
 * breaker's longest pause stays well below 5 s, the age at which a VM counts its configuration as
 * stale.
 */
export const TABLE_POLICY: StorePolicy = {
  deadlineMs: 500,
  maxRetries: 2,
  backoff: { baseMs: 20, maxMs: 100 },
  budget: { retriesPerRequest: 0.1, maxTokens: 10 },
  breaker: {
    failureThreshold: 5,
    open: { baseMs: 500, maxMs: 2000 },
    probeTimeoutMs: 1000,
  },
};

/** Policy of the object store: objects are larger than rows, and no one waits for their writes. */
export const OBJECT_POLICY: StorePolicy = {
  ...TABLE_POLICY,
  deadlineMs: 2000,
  breaker: { ...TABLE_POLICY.breaker, probeTimeoutMs: 2000 },
};
