import type { Clock } from '../../ports';

/** Lateness from which a timer shows that this process stood still, milliseconds. */
const STALLED_MS = 50;

/** Time to read what arrived while this process stood still, milliseconds. */
const GRACE_MS = 50;

/** Graces in a row: together they stay below one usual deadline. */
const MAX_GRACES = 3;

/**
 * Calls `onPassed` when the time is up; the returned function cancels it.
 *
 * When the process was paused or its loop blocked, timers run before the sockets are read, and an
 * answer that arrived in time would be taken for lost: after each pause of a VM all its calls to
 * the store would fail, and its circuit open. One notices by the timer's own lateness; a short
 * grace then lets the answers in first.
 *
 * @param deadlineMs milliseconds from now
 */
export function startDeadline(clock: Clock, deadlineMs: number, onPassed: () => void): () => void {
  let cancelTimer = (): void => {};
  const startTimer = (delayMs: number, gracesLeft: number): void => {
    const dueMs = clock.readMonotonicMs() + delayMs;
    cancelTimer = clock.startTimer(delayMs, () => {
      const isStalled = clock.readMonotonicMs() - dueMs >= STALLED_MS;
      if (isStalled && gracesLeft > 0) startTimer(GRACE_MS, gracesLeft - 1);
      else onPassed();
    });
  };
  startTimer(deadlineMs, MAX_GRACES);
  return () => cancelTimer();
}
