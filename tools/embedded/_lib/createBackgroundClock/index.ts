import { createSystemClock } from '../../../../src/adapters/system';
import type { Clock } from '../../../../src/application/ports';

/**
 * Creates a clock whose timers do not keep the process alive.
 *
 * A stopped entry may still have a retry planned, for example of a claim's end; as a process it
 * would have ended by now, but in this one the retry would hold up the end of the program.
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
