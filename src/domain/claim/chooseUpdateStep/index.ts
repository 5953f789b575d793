import type { ClaimRow } from '../../types';
import type { ClaimReply, ClaimStep } from '../types';

/** The parts of a claim that its holder changes. */
export type ClaimChange = Partial<
  Pick<ClaimRow, 'backendServer' | 'streamId' | 'attempt' | 'state'>
>;

const isApplied = (row: ClaimRow, change: ClaimChange): boolean =>
  Object.entries(change).every(([field, value]) => row[field as keyof ClaimChange] === value);

/**
 * Chooses the next step of a holder's update after a reply.
 *
 * The holder's own earlier update may take effect late, after its answer was lost: the row is then
 * still ours at a revision not expected, and the change is made again on top of it. Under another
 * claim id the row is someone else's: this VM was paused or cut off, and was taken for dead.
 *
 * @param sent the row last sent
 * @param change what the holder wants changed
 */
export function chooseUpdateStep(
  sent: ClaimRow,
  change: ClaimChange,
  reply: ClaimReply,
): ClaimStep {
  if (reply.kind === 'written') return { kind: 'done', row: sent };
  if (reply.kind === 'unknown') return { kind: 'read' };
  const row = reply.row?.row ?? null;
  if (row === null || row.claimId !== sent.claimId) return { kind: 'lost', row };
  if (isApplied(row, change)) return { kind: 'done', row };
  const next = { ...row, ...change, revision: row.revision + 1 };
  return { kind: 'write', row: next, expectedRevision: row.revision };
}
