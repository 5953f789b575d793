import type { Clock } from '../../ports';

/** Delay of a timer from which this process counts as stalled, in milliseconds. */
const STALLED_MS = 50;

/** Time to read responses that arrived while this process was stalled, in milliseconds. */
const GRACE_PERIOD_MS = 50;

/** Most grace periods in a row, so that together they stay below a usual deadline. */
const MAX_GRACE_PERIODS = 3;

/**
 * Calls `onPassed` when the deadline passes; the returned function cancels the deadline.
 *
 * After the process was paused or its event loop blocked, timers run before the sockets are read. A
 * response that arrived in time would count as lost: after each pause of a VM all its calls to the
 * store would fail and open its circuit breaker. A late timer reveals the stall, and a short grace
 * period lets the responses be read first.
 *
 * @param deadlineMs - milliseconds from now
 */
export function startDeadline(clock: Clock, deadlineMs: number, onPassed: () => void): () => void {
  let cancelTimer = (): void => {};
  const startTimer = (delayMs: number, gracePeriodsLeft: number): void => {
    const dueMs = clock.readMonotonicMs() + delayMs;
    cancelTimer = clock.startTimer(delayMs, () => {
      const isStalled = clock.readMonotonicMs() - dueMs >= STALLED_MS;
      if (isStalled && gracePeriodsLeft > 0) startTimer(GRACE_PERIOD_MS, gracePeriodsLeft - 1);
      else onPassed();
    });
  };
  startTimer(deadlineMs, MAX_GRACE_PERIODS);
  return () => cancelTimer();
}
