import type { ClaimRow } from '../../types';
import type { ClaimReply, ClaimStep } from '../types';

/**
 * Chooses the next step of a takeover after a reply.
 *
 * The takeover succeeds only on the revision that was read: a holder that has written since is
 * alive.
 *
 * @param seen - the row of the holder that is assumed dead
 * @param sent - the replacing row, with a new claim id
 * @param reply - the result of the last step
 */
export function chooseTakeoverStep(seen: ClaimRow, sent: ClaimRow, reply: ClaimReply): ClaimStep {
  if (reply.kind === 'written') return { kind: 'done', row: sent };
  if (reply.kind === 'unknown') return { kind: 'read' };
  const row = reply.row?.row ?? null;
  if (row?.claimId === sent.claimId) return { kind: 'done', row };
  if (row?.claimId === seen.claimId && row.revision === seen.revision) {
    return { kind: 'write', row: sent, expectedRevision: seen.revision };
  }
  return { kind: 'lost', row };
}
