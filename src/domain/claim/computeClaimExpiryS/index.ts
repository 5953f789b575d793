import { ClaimState, type ClaimRow } from '../../types';

/** Added for a row whose work is running, in seconds; far longer than any generation. */
const RUNNING_GRACE_S = 86_400;

/**
 * Computes when the platform may remove a row.
 *
 * @param row - the row
 * @param nowMs - wall time, in milliseconds since the epoch
 * @param answerTtlMs - how long finished answers are kept, in milliseconds
 * @returns seconds since the epoch
 */
export function computeClaimExpiryS(row: ClaimRow, nowMs: number, answerTtlMs: number): number {
  const graceS = row.state === ClaimState.Running ? RUNNING_GRACE_S : 0;
  return Math.ceil((nowMs + answerTtlMs) / 1000) + graceS;
}
