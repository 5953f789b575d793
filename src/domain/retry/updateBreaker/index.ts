import type { Breaker, BreakerPolicy } from '../types';

/** Result of a call that the breaker let through. */
export interface CallResult {
  readonly failed: boolean;
  readonly probe: boolean;
  /** Monotonic milliseconds. */
  readonly nowMs: number;
  /** Random number, from 0 inclusive to 1 exclusive, which spreads the probes of many clients. */
  readonly fraction: number;
}

/** Opens a breaker for half to all of a time that doubles with each consecutive opening. */
function openBreaker(openings: number, result: CallResult, policy: BreakerPolicy): Breaker {
  const boundMs = Math.min(policy.open.maxMs, policy.open.baseMs * 2 ** openings);
  const untilMs = result.nowMs + (boundMs * (1 + result.fraction)) / 2;
  return { kind: 'open', untilMs, openings: openings + 1 };
}

/**
 * Updates a breaker with the result of a call.
 *
 * Calls that started before the breaker opened do not change it: late failures must not delay the
 * next probe, and a late success is older than the failures that opened the breaker.
 */
export function updateBreaker(
  breaker: Breaker,
  result: CallResult,
  policy: BreakerPolicy,
): Breaker {
  if (breaker.kind === 'closed') {
    const failures = result.failed ? breaker.failures + 1 : 0;
    return failures < policy.failureThreshold
      ? { kind: 'closed', failures }
      : openBreaker(0, result, policy);
  }
  if (!result.probe) return breaker;
  return result.failed
    ? openBreaker(breaker.openings, result, policy)
    : { kind: 'closed', failures: 0 };
}
