import type { LeaseRow, LeaseObservation } from '../types';

/**
 * Adds what a read showed to what was seen before.
 *
 * The time of the first sight of a revision stays: from then on the holder has at most the lease's
 * duration left, whatever its clock says. No wall time is compared between VMs.
 *
 * @param before - the last sighting, or null
 * @param row - the row as read, or null if there is none
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
