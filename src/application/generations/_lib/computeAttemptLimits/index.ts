import {
  computePrefillLimits,
  computeSilenceLimits,
  type FirstTokenSample,
  type SilenceLimits,
} from '../../../../domain/detection';
import { AttemptPhase } from '../../../../domain/generation';
import type { AttemptHandle } from '../../types';

/** Inputs to the silence limits of one attempt. */
export interface LimitOptions {
  readonly firstTokens: readonly FirstTokenSample[];
  readonly promptCharacters: number;
  /** True if the server is delivering tokens to other streams. */
  readonly serverActive: boolean;
  readonly serverDead: boolean;
}

/** An engine sends its kept tokens at once on a resume, so only the connection needs time. */
const MIN_RESUME_LIMITS: SilenceLimits = { suspectMs: 250, confirmMs: 500 };

/**
 * Factor on the prefill limits of a server that is delivering to other streams, as the prefill may
 * be queued there. Without it, a burst of requests makes every engine look stuck, and all of them
 * are taken out of service at once.
 */
const BUSY_SERVER_FACTOR = 4;

const NO_LIMITS: SilenceLimits = { suspectMs: Infinity, confirmMs: Infinity };

type ComputeLimits = (handle: AttemptHandle, options: LimitOptions) => SilenceLimits;

const LIMITS_BY_PHASE: Readonly<Record<AttemptPhase, ComputeLimits>> = {
  [AttemptPhase.Opening]: () => NO_LIMITS,
  [AttemptPhase.Prefill]: (
    _handle,
    { firstTokens, promptCharacters, serverActive, serverDead },
  ) => {
    const limits = computePrefillLimits(firstTokens, promptCharacters, {
      isServerDead: serverDead,
    });
    const factor = serverActive ? BUSY_SERVER_FACTOR : 1;
    return { suspectMs: limits.suspectMs * factor, confirmMs: limits.confirmMs * factor };
  },
  [AttemptPhase.Streaming]: (handle, { serverDead }) =>
    computeSilenceLimits(handle.gaps, { isServerDead: serverDead }),
  [AttemptPhase.Resuming]: (handle) => {
    if (handle.gaps.count === 0) return MIN_RESUME_LIMITS;
    const gapLimits = computeSilenceLimits(handle.gaps, { isServerDead: false });
    return {
      suspectMs: Math.max(MIN_RESUME_LIMITS.suspectMs, gapLimits.suspectMs),
      confirmMs: Math.max(MIN_RESUME_LIMITS.confirmMs, gapLimits.confirmMs),
    };
  },
};

/**
 * Computes how long an attempt may be silent in its phase.
 *
 * @param phase - Phase of the attempt.
 * @param handle - Handle of the attempt, with its gap statistics.
 * @param options - First-token samples of the service and the state of the server.
 * @returns Limits in milliseconds.
 */
export const computeAttemptLimits = (
  phase: AttemptPhase,
  handle: AttemptHandle,
  options: LimitOptions,
): SilenceLimits => LIMITS_BY_PHASE[phase](handle, options);
