import {
  computePrefillLimitMs,
  computeSilenceLimitMs,
  type SilenceLimits,
} from '../../../../domain/detection';
import type { Reader } from '../../../../domain/generation';
import type { StreamAttempt, StreamRun } from '../../types';

/**
 * Part of the longest good pause after which a silent server is given up: the rest is what going
 * on elsewhere takes, some round trips and the tokens that had not been copied yet.
 */
const PAUSE_PART = 0.5;

/**
 * Part of the latency goal after which a server without a first event is given up: with the prompt
 * read anew elsewhere the answer may still come in time.
 */
const FIRST_EVENT_PART = 0.45;

/**
 * A process that stood still has not read what arrived meanwhile: it reads first, for this long,
 * and then looks again.
 */
const SECOND_LOOK_MS = 15;

const computeLimits = (run: StreamRun, attempt: StreamAttempt): SilenceLimits => {
  const { request, route, service } = run.context;
  if (attempt.hasDelivered) {
    const own = computeSilenceLimitMs(attempt.gaps, { serverDead: false });
    return { ...own, confirmMs: Math.min(own.confirmMs, route.gapGoalMs * PAUSE_PART) };
  }
  const samples = run.paces.listFirstTokens(service);
  const size = request.tokens?.prompt ?? 0;
  const limits = computePrefillLimitMs(samples, size, { serverDead: false });
  const goalMs = route.latencyGoalMs * FIRST_EVENT_PART;
  // Never sooner than reading the prompt usually takes, where that is long beside the goal.
  return { ...limits, confirmMs: Math.min(limits.confirmMs, Math.max(goalMs, limits.suspectMs)) };
};

/**
 * Watches an attempt for silence, and dispatches it when it has lasted too long.
 *
 * @returns stops the watch
 */
export const startSilenceWatch = (
  run: StreamRun,
  attempt: StreamAttempt,
  reader: Reader,
): (() => void) => {
  const { clock } = run.dependencies;
  let cancelTimer = (): void => undefined;

  const readLeftMs = (): number =>
    attempt.lastActivityMs + computeLimits(run, attempt).confirmMs - clock.readMonotonicMs();

  function watch(): void {
    cancelTimer = clock.startTimer(Math.max(1, readLeftMs()), () => {
      cancelTimer = clock.startTimer(readLeftMs() > 0 ? 0 : SECOND_LOOK_MS, () => {
        if (readLeftMs() > 0) watch();
        else run.dispatch({ kind: 'silent', reader, confirmed: true });
      });
    });
  }
  watch();
  return () => cancelTimer();
};
