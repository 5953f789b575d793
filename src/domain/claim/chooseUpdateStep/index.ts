import type { ClaimRow } from '../../types';
import type { ClaimReply, ClaimStep } from '../types';

/** The fields of a claim that its holder changes. */
export type ClaimChange = Partial<
  Pick<ClaimRow, 'backendServer' | 'streamId' | 'attempt' | 'state'>
>;

const isApplied = (row: ClaimRow, change: ClaimChange): boolean =>
  Object.entries(change).every(([field, value]) => row[field as keyof ClaimChange] === value);

/**
 * Chooses the next step of an update by the holder after a reply.
 *
 * An earlier update of the holder may take effect late, after its response was lost. The row then
 * has the same claim id but an unexpected revision, and the change is applied on top of it. A row
 * with another claim id belongs to another VM, which took over because this VM was paused or cut
 * off.
 *
 * @param sent - the row last sent
 * @param change - the fields to change
 * @param reply - the result of the last step
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
