import type { Clock } from '../../../ports';

/** Runs one shared timer while there is something to look at. */
export interface Sweeper {
  /** Makes sure that the timer runs. */
  start(): void;
  stop(): void;
}

/** How often streams are looked at: one timer for all, as one a stream costs more than its tokens. */
const SWEEP_INTERVAL_MS = 25;

/** A timer that is later than this tells that the process stood still. */
const STALL_THRESHOLD_MS = 75;

/**
 * Creates a sweeper.
 *
 * @param clock - Time and timers.
 * @param sweep - Looks at all runs, given the time that the process stood still before, in
 *   milliseconds; false if there is nothing left to look at.
 * @returns Sweeper that stands still until it is started.
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
