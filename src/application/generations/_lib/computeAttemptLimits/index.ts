import {
  computePrefillLimits,
  computeSilenceLimits,
  type FirstTokenSample,
  type SilenceLimits,
} from '../../../../domain/detection';
import { AttemptPhase } from '../../../../domain/generation';
import type { AttemptHandle } from '../../types';

/** What the limits of one attempt follow from. */
export interface LimitOptions {
  readonly firstTokens: readonly FirstTokenSample[];
  readonly promptCharacters: number;
  /** True if the server is delivering tokens to other streams. */
  readonly serverActive: boolean;
  readonly serverDead: boolean;
}

/** Kept tokens come at once when a stream is read again, so a connection's limits are enough. */
const MIN_RESUME_LIMITS: SilenceLimits = { suspectMs: 250, confirmMs: 500 };

/**
 * Room for a prefill on a server that is at work: it waits behind others there. Without it a burst
 * of requests makes each engine look stuck, and all of them are taken out of service at once.
 */
const BUSY_SERVER_FACTOR = 4;

const NO_LIMITS: SilenceLimits = { suspectMs: Infinity, confirmMs: Infinity };

type Compute = (handle: AttemptHandle, options: LimitOptions) => SilenceLimits;

const LIMITS: Readonly<Record<AttemptPhase, Compute>> = {
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
    const own = computeSilenceLimits(handle.gaps, { isServerDead: false });
    return {
      suspectMs: Math.max(MIN_RESUME_LIMITS.suspectMs, own.suspectMs),
      confirmMs: Math.max(MIN_RESUME_LIMITS.confirmMs, own.confirmMs),
    };
  },
};

/**
 * Computes how long an attempt may be silent in its phase.
 *
 * @param phase - Phase of the attempt.
 * @param handle - Its figures.
 * @param options - Figures of its service and evidence against its server.
 * @returns Limits in milliseconds.
 */
export const computeAttemptLimits = (
  phase: AttemptPhase,
  handle: AttemptHandle,
  options: LimitOptions,
): SilenceLimits => LIMITS[phase](handle, options);
