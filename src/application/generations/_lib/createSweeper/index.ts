import type { Clock } from '../../../ports';

/** Runs a sweep on one shared timer while there are runs to check. */
export interface Sweeper {
  /** Starts the timer if it is not running. */
  start(): void;
  stop(): void;
}

/** All streams share one timer: a timer per stream would cost more than the tokens themselves. */
const SWEEP_INTERVAL_MS = 25;

/** A timer that fires later than this shows that the process was stalled. */
const STALL_THRESHOLD_MS = 75;

/**
 * Creates a sweeper.
 *
 * @param clock - Time and timers.
 * @param sweep - Checks all runs; gets the time for which the process was stalled before, in
 *   milliseconds, and returns false if no runs are left.
 * @returns Sweeper that is stopped until `start` is called.
 */
export const createSweeper = (clock: Clock, sweep: (stalledMs: number) => boolean): Sweeper => {
  let cancelTimer: (() => void) | null = null;
  let dueAtMs = 0;

  const schedule = (): void => {
    dueAtMs = clock.readMonotonicMs() + SWEEP_INTERVAL_MS;
    cancelTimer = clock.startTimer(SWEEP_INTERVAL_MS, () => {
      const lateMs = clock.readMonotonicMs() - dueAtMs;
      cancelTimer = null;
      if (sweep(lateMs > STALL_THRESHOLD_MS ? lateMs : 0) && !cancelTimer) schedule();
    });
  };

  return {
    start: () => {
      if (!cancelTimer) schedule();
    },
    stop: () => {
      cancelTimer?.();
      cancelTimer = null;
    },
  };
};
