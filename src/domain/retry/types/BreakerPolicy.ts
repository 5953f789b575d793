import type { BackoffPolicy } from './BackoffPolicy';

/** When a breaker opens, and for how long. */
export interface BreakerPolicy {
  /** Failures in a row that open it. */
  readonly failureThreshold: number;
  /** How long it stays open; grows with each probe that fails. */
  readonly open: BackoffPolicy;
  /** A probe that gives no result within this time counts as failed, milliseconds. */
  readonly probeTimeoutMs: number;
}
