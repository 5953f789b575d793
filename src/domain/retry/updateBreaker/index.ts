import type { Breaker, BreakerPolicy } from '../types';

/** Result of a call that the breaker let through. */
export interface CallResult {
  readonly failed: boolean;
  readonly probe: boolean;
  /** Monotonic milliseconds. */
  readonly nowMs: number;
  /** Random, from 0 inclusive to 1 exclusive: spreads the probes of many clients. */
  readonly fraction: number;
}

/** Opens for between half and the whole of a time that doubles with each opening in a row. */
function openBreaker(openings: number, end: CallResult, policy: BreakerPolicy): Breaker {
  const boundMs = Math.min(policy.open.maxMs, policy.open.baseMs * 2 ** openings);
  const untilMs = end.nowMs + (boundMs * (1 + end.fraction)) / 2;
  return { kind: 'open', untilMs, openings: openings + 1 };
}

/**
 * Gives the breaker after a call ended. Calls that went out before it opened change an open
 * breaker no more: late failures must not put the next probe off, and a late success is older
 * than the failures that opened it.
 */
export function updateBreaker(breaker: Breaker, end: CallResult, policy: BreakerPolicy): Breaker {
  if (breaker.kind === 'closed') {
    const failures = end.failed ? breaker.failures + 1 : 0;
    return failures < policy.failureThreshold
      ? { kind: 'closed', failures }
      : openBreaker(0, end, policy);
  }
  if (!end.probe) return breaker;
  return end.failed ? openBreaker(breaker.openings, end, policy) : { kind: 'closed', failures: 0 };
}
