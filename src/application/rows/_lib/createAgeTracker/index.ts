import type { Clock } from '../../../ports';

/** Tracks the age of the local rows of a table. */
export interface AgeTracker {
  /** Records that the local rows were up to date at this monotonic time. */
  recordAsOf(atMs: number): void;
  /** Age in milliseconds; infinite before the first record. */
  readAgeMs(): number;
}

/**
 * Creates an age tracker.
 *
 * The monotonic clock stops while a VM is suspended, but the wall clock does not, so the age is the
 * larger of both differences. A wall clock that jumps forward makes the rows look too old, which
 * costs one more call; a jump back changes nothing.
 */
export const createAgeTracker = (
  clock: Pick<Clock, 'readMonotonicMs' | 'readWallMs'>,
): AgeTracker => {
  let asOfMs = -Infinity;
  let asOfWallMs = -Infinity;
  const readAgeMs = (): number =>
    Math.max(clock.readMonotonicMs() - asOfMs, clock.readWallMs() - asOfWallMs);
  return {
    recordAsOf: (atMs) => {
      const ageMs = Math.max(0, clock.readMonotonicMs() - atMs);
      if (ageMs >= readAgeMs()) return;
      asOfMs = clock.readMonotonicMs() - ageMs;
      asOfWallMs = clock.readWallMs() - ageMs;
    },
    readAgeMs,
  };
};
