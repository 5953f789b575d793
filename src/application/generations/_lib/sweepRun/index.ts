import { AttemptPhase, type Attempt } from '../../../../domain/generation';
import { BackendHealth } from '../../../../domain/types';
import type { GenerationRun, GenerationsDependencies } from '../../types';
import { computeAttemptLimits } from '../computeAttemptLimits';
import type { LatencyHistory } from '../../../_lib/createLatencyHistory';
import type { ServerActivity } from '../createServerActivity';

/** What a sweep looks with. */
export interface SweepOptions {
  readonly dependencies: GenerationsDependencies;
  readonly latencyHistory: LatencyHistory;
  readonly serverActivity: ServerActivity;
  readonly nowMs: number;
  /** Time that this process itself was stalled before the sweep, in milliseconds. */
  readonly stalledMs: number;
  /** How long a generation is kept without a caller, in milliseconds. */
  readonly detachedMs: number;
}

/** A server that delivered a token to any stream so lately is at work. */
const ACTIVE_MS = 200;

const sweepAttempt = (run: GenerationRun, attempt: Attempt, options: SweepOptions): void => {
  const handle = run.attempts.get(attempt.attempt);
  if (!handle || attempt.phase === AttemptPhase.Opening) return;
  if (options.stalledMs > 0) {
    // While this process stood still nothing could be read: that silence is no evidence. Without
    // this, an entry that was paused would take every engine for dead when it wakes.
    const lastActivityMs = Math.min(options.nowMs, handle.lastActivityMs + options.stalledMs);
    Object.assign(handle, { lastActivityMs });
    return;
  }
  const limits = computeAttemptLimits(attempt.phase, handle, {
    firstTokens: options.latencyHistory.listFirstTokens(run.service),
    promptCharacters: run.request?.promptCharacters ?? 0,
    serverActive:
      options.nowMs - options.serverActivity.readLastMs(attempt.backendServer) < ACTIVE_MS,
    serverDead:
      options.dependencies.health.readHealth(attempt.backendServer) === BackendHealth.Dead,
  });
  const silentMs = options.nowMs - handle.lastActivityMs;
  if (silentMs < limits.suspectMs) return;
  const reader = { attempt: attempt.attempt, connection: attempt.connection };
  run.dispatch({ kind: 'silent', reader, confirmed: silentMs >= limits.confirmMs });
};

/**
 * Looks at one run: attempts that are silent, a retry or deadline that is due, and whether it may
 * be forgotten.
 *
 * @param run - Run to look at.
 * @param options - Time and limits.
 * @returns True if the run is to be kept.
 */
export const sweepRun = (run: GenerationRun, options: SweepOptions): boolean => {
  const { nowMs } = options;
  const state = run.readState();
  const idleSinceMs = run.readIdleSinceMs();
  const isExpired = idleSinceMs !== null && nowMs - idleSinceMs > options.detachedMs;
  if (isExpired && run.isEnded()) return false;
  if (isExpired && !state.policy.keyed) {
    run.dispatch({ kind: 'abandoned', reason: 'expired' });
    return false;
  }
  const isLate = state.offset === 0 && nowMs > run.deadlineMs;
  if (isLate) run.dispatch({ kind: 'deadline-passed' });
  const retryAtMs = run.readRetryAtMs();
  if (retryAtMs !== null && nowMs >= retryAtMs) run.dispatch({ kind: 'retry-due' });
  state.attempts.forEach((attempt) => sweepAttempt(run, attempt, options));
  return true;
};
