import type { LeaseRow, LeaseObservation } from '../types';

/**
 * Updates the observation of a lease after a read.
 *
 * While the revision does not change, the time of its first observation is kept. From that time the
 * holder has at most the duration of the lease left, regardless of its clock. No wall times of
 * different VMs are compared.
 *
 * @param before - the previous observation, or null
 * @param row - the row read, or null if there is none
 * @param nowMs - monotonic time after the read, in milliseconds
 */
export function updateLeaseObservation(
  before: LeaseObservation | null,
  row: LeaseRow | null,
  nowMs: number,
): LeaseObservation {
  const isSame = before !== null && before.row?.revision === row?.revision;
  return { row, firstSeenAtMs: isSame ? before.firstSeenAtMs : nowMs };
}
