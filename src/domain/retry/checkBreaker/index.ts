import { err, ok, type Result } from 'neverthrow';
import type { Breaker } from '../types';

/** A call that the breaker lets through: the state during the call, and whether it is the probe. */
export interface AllowedCall {
  readonly breaker: Breaker;
  readonly probe: boolean;
}

/** Refusal of a call by an open breaker. */
export interface BreakerRefusal {
  readonly kind: 'circuit-open';
  readonly retryAfterMs: number;
}

/**
 * Checks whether a circuit breaker lets a call through.
 *
 * Once its time is up, an open breaker lets one call through as a probe.
 *
 * @param nowMs - monotonic milliseconds
 * @param probeTimeoutMs - time after which a probe without a result no longer blocks other calls
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
