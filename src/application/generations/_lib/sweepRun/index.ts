import { AttemptPhase, type Attempt } from '../../../../domain/generation';
import { BackendHealth } from '../../../../domain/types';
import type { GenerationRun, GenerationsDependencies } from '../../types';
import { computeAttemptLimits } from '../computeAttemptLimits';
import type { LatencyHistory } from '../../../_lib/createLatencyHistory';
import type { ServerActivity } from '../createServerActivity';

/** Options of one sweep. */
export interface SweepOptions {
  readonly dependencies: GenerationsDependencies;
  readonly latencyHistory: LatencyHistory;
  readonly serverActivity: ServerActivity;
  readonly nowMs: number;
  /** Time for which this process was stalled before the sweep, in milliseconds. */
  readonly stalledMs: number;
  /** How long a generation is kept without a caller, in milliseconds. */
  readonly detachedMs: number;
}

/** A server that delivered a token to any stream within this time counts as active. */
const ACTIVITY_WINDOW_MS = 200;

const sweepAttempt = (run: GenerationRun, attempt: Attempt, options: SweepOptions): void => {
  const handle = run.attempts.get(attempt.attempt);
  if (!handle || attempt.phase === AttemptPhase.Opening) return;
  if (options.stalledMs > 0) {
    // While this process was stalled, it could read nothing, so the silence is no evidence. Without
    // this, a VM that was paused would declare every engine dead when it continues.
    const lastActivityMs = Math.min(options.nowMs, handle.lastActivityMs + options.stalledMs);
    Object.assign(handle, { lastActivityMs });
    return;
  }
  const limits = computeAttemptLimits(attempt.phase, handle, {
    firstTokens: options.latencyHistory.listFirstTokens(run.service),
    promptCharacters: run.request?.promptCharacters ?? 0,
    serverActive:
      options.nowMs - options.serverActivity.readLastMs(attempt.backendServer) < ACTIVITY_WINDOW_MS,
    serverDead:
      options.dependencies.health.readHealth(attempt.backendServer) === BackendHealth.Dead,
  });
  const silentMs = options.nowMs - handle.lastActivityMs;
  if (silentMs < limits.suspectMs) return;
  const reader = { attempt: attempt.attempt, connection: attempt.connection };
  run.dispatch({ kind: 'silent', reader, confirmed: silentMs >= limits.confirmMs });
};

/**
 * Checks one run for silent attempts, a due retry, a passed deadline and expiry.
 *
 * @param run - Run to check.
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
