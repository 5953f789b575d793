import type { LeaseObservation } from '../types';

/**
 * Tells whether a lease may be taken over: there is none, it was given up, or its revision has not
 * changed for its whole duration and a margin, counted by the own clock since the first sight.
 *
 * @param sighting - what this VM saw
 * @param nowMs - monotonic time in milliseconds
 * @param marginMs - wait beyond the duration, in milliseconds
 */
export function isTakeoverDue(
  sighting: LeaseObservation,
  nowMs: number,
  marginMs: number,
): boolean {
  const { row, firstSeenAtMs } = sighting;
  if (row === null || row.holder === '') return true;
  return nowMs - firstSeenAtMs >= row.durationMs + marginMs;
}
