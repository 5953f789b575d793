import type { Clock } from '../../../src/application/ports';

/** Creates a clock on the machine's own time. */
export function createSystemClock(): Clock {
  return {
    readWallMs: () => Date.now(),
    readMonotonicMs: () => performance.now(),
    startTimer: (delayMs, callback) => {
      const timer = setTimeout(callback, delayMs);
      return () => clearTimeout(timer);
    },
  };
}
