import type { BackoffPolicy } from './BackoffPolicy';

/** Conditions under which a breaker opens, and for how long. */
export interface BreakerPolicy {
  /** Consecutive failures that open the breaker. */
  readonly failureThreshold: number;
  /** Time for which the breaker stays open; grows with each failed probe. */
  readonly open: BackoffPolicy;
  /** Time after which a probe without a result counts as failed, in milliseconds. */
  readonly probeTimeoutMs: number;
}
