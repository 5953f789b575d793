import { err, ok, type Result } from 'neverthrow';
import type { Breaker } from '../types';

/** Leave to make a call: the state while it is out, and whether it is the probe. */
export interface AllowedCall {
  readonly breaker: Breaker;
  readonly probe: boolean;
}

/** The breaker is open. */
export interface BreakerRefusal {
  readonly kind: 'circuit-open';
  readonly retryAfterMs: number;
}

/**
 * Checks whether a call may go out; an open breaker whose time is up lets one through as a probe.
 *
 * @param nowMs monotonic milliseconds
 * @param probeTimeoutMs time after which a probe without a result no longer holds others back
 */
export function checkBreaker(
  breaker: Breaker,
  nowMs: number,
  probeTimeoutMs: number,
): Result<AllowedCall, BreakerRefusal> {
  if (breaker.kind === 'closed') return ok({ breaker, probe: false });
  if (nowMs < breaker.untilMs) {
    return err({ kind: 'circuit-open', retryAfterMs: Math.ceil(breaker.untilMs - nowMs) });
  }
  const { openings } = breaker;
  const untilMs = nowMs + probeTimeoutMs;
  return ok({ breaker: { kind: 'half-open', untilMs, openings }, probe: true });
}
