import { createSystemClock } from '../../../../src/adapters/system';
import type { Clock } from '../../../../src/application/ports';

/**
 * Creates a clock whose timers do not keep the process alive.
 *
 * A stopped entry may still have a retry scheduled, for example of the write that ends a claim. In
 * production its process would have exited; here the retry would delay the exit of the program.
 */
export function createBackgroundClock(): Clock {
  return {
    ...createSystemClock(),
    startTimer: (delayMs, callback) => {
      const timer = setTimeout(callback, delayMs).unref();
      return () => clearTimeout(timer);
    },
  };
}
