import { performance } from 'node:perf_hooks';
import type { Clock } from '../../../application/ports';

/** Longest delay of a timer of Node.js; a longer one would last 1 ms. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/** Creates a clock on the system time. */
export function createSystemClock(): Clock {
  return {
    readWallMs: () => Date.now(),
    readMonotonicMs: () => performance.now(),
    readIdleMs: () => performance.nodeTiming.idleTime,
    startTimer: (delayMs, callback) => {
      const timer = setTimeout(callback, Math.min(delayMs, MAX_DELAY_MS));
      return () => clearTimeout(timer);
    },
  };
}
