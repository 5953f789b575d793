import type { Clock } from '../../ports';
import { createSendDating } from '../createSendDating';

/** Dates what a process reads from all its connections together. */
export interface ArrivalDating {
  /**
   * Records that the process reads something; returns the earliest time at which that can have been
   * sent, in monotonic ms.
   */
  readSentSinceMs(): number;
  stop(): void;
}

/** What comes after this time without anything to read is dated more closely. */
const REFRESH_MS = 100;

/**
 * Creates the dating, which works until it is stopped.
 *
 * A process that was stopped, or was short of processor time, reads at once what came meanwhile.
 */
export const createArrivalDating = (
  clock: Pick<Clock, 'readIdleMs' | 'readMonotonicMs' | 'startTimer'>,
): ArrivalDating => {
  const dating = createSendDating(clock);
  let cancelTimer = (): void => undefined;
  const startRefresh = (): void => {
    cancelTimer = clock.startTimer(REFRESH_MS, () => {
      dating.refresh();
      startRefresh();
    });
  };
  startRefresh();
  return {
    readSentSinceMs: () => {
      const sentSinceMs = dating.readSentSinceMs();
      dating.startWaiting();
      return sentSinceMs;
    },
    stop: () => cancelTimer(),
  };
};
