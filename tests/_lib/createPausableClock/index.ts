import type { Clock } from '../../../src/application/ports';

/** The clock of one process, which can be paused as a whole. */
export interface PausableClock extends Clock {
  /** Stops the timers of the process; time itself continues. */
  pause(): void;
  resume(): void;
  isPaused(): boolean;
  /** Fires the timers that expired during the pause. */
  runDelayed(): void;
}

/** Creates the clock of one process on top of the clock of the test. */
export function createPausableClock(clock: Clock): PausableClock {
  let paused = false;
  let delayed: (() => void)[] = [];
  return {
    ...clock,
    startTimer: (delayMs, callback) => {
      let cancelled = false;
      const fire = (): void => {
        if (!cancelled) callback();
      };
      const cancel = clock.startTimer(delayMs, () => {
        if (paused) delayed.push(fire);
        else fire();
      });
      return () => {
        cancelled = true;
        cancel();
      };
    },
    pause: () => {
      paused = true;
    },
    resume: () => {
      paused = false;
    },
    isPaused: () => paused,
    runDelayed: () => {
      if (paused) return;
      const callbacks = delayed;
      delayed = [];
      callbacks.forEach((callback) => callback());
    },
  };
}
