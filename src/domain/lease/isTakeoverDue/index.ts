import type { LeaseObservation } from '../types';

/**
 * Checks whether a lease may be taken over: there is no lease, the lease was released, or its
 * revision has not changed for the duration of the lease plus a margin, measured by the clock of
 * this VM since the first observation.
 *
 * @param observation - observation by this VM
 * @param nowMs - monotonic time in milliseconds
 * @param marginMs - wait after the end of the lease, in milliseconds
 */
export function isTakeoverDue(
  observation: LeaseObservation,
  nowMs: number,
  marginMs: number,
): boolean {
  const { row, firstSeenAtMs } = observation;
  if (row === null || row.holder === '') return true;
  return nowMs - firstSeenAtMs >= row.durationMs + marginMs;
}
