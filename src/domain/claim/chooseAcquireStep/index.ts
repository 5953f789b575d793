import type { ClaimRow } from '../../types';
import { isClaimReplaceable } from '../isClaimReplaceable';
import type { ClaimReply, ClaimStep, StoredClaim } from '../types';

function chooseByCurrent(sent: ClaimRow, current: StoredClaim | null, nowS: number): ClaimStep {
  if (current === null) return { kind: 'write', row: sent, expectedRevision: null };
  const { row } = current;
  if (row.claimId === sent.claimId) return { kind: 'done', row };
  if (!isClaimReplaceable(current, nowS)) return { kind: 'lost', row };
  // The revision increases by a random amount, as in `buildTakeoverClaim`.
  const next = { ...sent, revision: row.revision + sent.revision };
  return { kind: 'write', row: next, expectedRevision: row.revision };
}

/**
 * Chooses the next step of a new claim after a reply.
 *
 * After a lost response the row is read back. If the row does not exist, it is written again under
 * the same claim id: the lost write may still arrive, and it does not matter which of two writes
 * with the same id takes effect.
 *
 * @param sent - the row last sent
 * @param reply - the result of the last step
 * @param nowS - wall time, in seconds since the epoch
 */
export function chooseAcquireStep(sent: ClaimRow, reply: ClaimReply, nowS: number): ClaimStep {
  if (reply.kind === 'written') return { kind: 'done', row: sent };
  if (reply.kind === 'unknown') return { kind: 'read' };
  return chooseByCurrent(sent, reply.row, nowS);
}
