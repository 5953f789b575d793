import type { BackoffPolicy, BreakerPolicy, RetryBudgetPolicy } from '../../domain/retry';

/** How a client of the platform's store repeats calls and gives up. */
export interface StorePolicy {
  /** Time for an operation with all its retries, milliseconds. */
  readonly deadlineMs: number;
  readonly maxRetries: number;
  readonly backoff: BackoffPolicy;
  readonly budget: RetryBudgetPolicy;
  readonly breaker: BreakerPolicy;
}

/**
 * The table's policy. An operation fits one lost call (300 ms) and a retry. The breaker's longest
 * pause stays well below the 5 s after which a VM that has not read the configuration counts it
 * as old.
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

/** The object store's policy: answers are larger than rows, and no one waits for their write. */
export const OBJECT_POLICY: StorePolicy = {
  ...TABLE_POLICY,
  deadlineMs: 2000,
  breaker: { ...TABLE_POLICY.breaker, probeTimeoutMs: 2000 },
};
