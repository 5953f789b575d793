import type { Clock } from '../../../ports';

/** An answer of the store as seen from here. */
export interface TimedAnswer {
  /** Monotonic time at which the call was sent. */
  readonly sentAtMs: number;
  /** The store's own steady clock when it answered; null if it told none. */
  readonly storeMs: number | null;
}

/** Tells at which time of the local clock the store gave an answer. */
export interface StoreClockConverter {
  /** Returns a monotonic time that is surely not later than the answer's. */
  convertAnswer(answer: TimedAnswer): number;
}

/**
 * Creates the conversion from the store's clock to the local one.
 *
 * A call that waits is answered at its end, so that the time at which it was sent would make what it
 * tells look older by the whole wait. The difference between the clocks is at least that between the
 * sending of any call and its answer; calls that are answered at once give it to a few milliseconds.
 */
export const createStoreClockConverter = (
  clock: Pick<Clock, 'readMonotonicMs'>,
): StoreClockConverter => {
  let leastDifferenceMs = -Infinity;
  return {
    convertAnswer: ({ sentAtMs, storeMs }) => {
      if (storeMs === null) return sentAtMs;
      const mostDifferenceMs = clock.readMonotonicMs() - storeMs;
      // One of the clocks stood still or began anew: what was known of the difference is void.
      if (leastDifferenceMs > mostDifferenceMs) leastDifferenceMs = -Infinity;
      leastDifferenceMs = Math.max(leastDifferenceMs, sentAtMs - storeMs);
      return Math.max(sentAtMs, storeMs + leastDifferenceMs);
    },
  };
};
