import { performance } from 'node:perf_hooks';
import type { Clock } from '../../../application/ports';

/** Creates a clock on the system time. */
export function createSystemClock(): Clock {
  return {
    readWallMs: () => Date.now(),
    readMonotonicMs: () => performance.now(),
    readIdleMs: () => performance.nodeTiming.idleTime,
    startTimer: (delayMs, callback) => {
      const timer = setTimeout(callback, delayMs);
      return () => clearTimeout(timer);
    },
  };
}
