import type { Clock } from '../../../ports';

/** Knows how old the newest knowledge of a table is. */
export interface AgeTracker {
  /** The table had no newer change at this monotonic time than those that are known. */
  recordAsOf(atMs: number): void;
  /** Age in milliseconds; infinite before anything is known. */
  readAgeMs(): number;
}

/**
 * Creates the record of an age.
 *
 * The steady clock of a VM that was suspended did not run meanwhile, but the time of day did: the
 * larger of both differences counts. A time of day that jumps forward makes knowledge look too old,
 * which costs one more call; one that jumps back changes nothing.
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
