import type { Clock } from '../../../ports';

/** Times of a call to the store and its response. */
export interface TimedAnswer {
  /** Monotonic time at which the call was sent. */
  readonly sentAtMs: number;
  /** The store's monotonic clock at its response; null if the response carries none. */
  readonly storeMs: number | null;
}

/** Converts the store's response times to the local clock. */
export interface StoreClockConverter {
  /** Returns a local monotonic time that is never later than the store's response. */
  convertAnswer(answer: TimedAnswer): number;
}

/**
 * Creates a converter from the store's clock to the local one.
 *
 * A long poll is answered at its end, so the time at which it was sent would make the response look
 * older by the whole wait. The offset between the clocks is at least the difference between the
 * send time of any call and its response time; calls that are answered at once give the offset to
 * within a few milliseconds.
 */
export const createStoreClockConverter = (
  clock: Pick<Clock, 'readMonotonicMs'>,
): StoreClockConverter => {
  let minOffsetMs = -Infinity;
  return {
    convertAnswer: ({ sentAtMs, storeMs }) => {
      if (storeMs === null) return sentAtMs;
      const maxOffsetMs = clock.readMonotonicMs() - storeMs;
      // One of the clocks stopped or was reset, so the known bound on the offset is void.
      if (minOffsetMs > maxOffsetMs) minOffsetMs = -Infinity;
      minOffsetMs = Math.max(minOffsetMs, sentAtMs - storeMs);
      return Math.max(sentAtMs, storeMs + minOffsetMs);
    },
  };
};
