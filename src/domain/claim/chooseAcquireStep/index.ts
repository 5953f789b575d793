import type { ClaimRow } from '../../types';
import { isClaimReplaceable } from '../isClaimReplaceable';
import type { ClaimReply, ClaimStep, StoredClaim } from '../types';

function chooseByCurrent(sent: ClaimRow, current: StoredClaim | null, nowS: number): ClaimStep {
  if (current === null) return { kind: 'write', row: sent, expectedRevision: null };
  const { row } = current;
  if (row.claimId === sent.claimId) return { kind: 'done', row };
  if (!isClaimReplaceable(current, nowS)) return { kind: 'lost', row };
  // A random step up, as in `buildSuccessor`.
  const next = { ...sent, revision: row.revision + sent.revision };
  return { kind: 'write', row: next, expectedRevision: row.revision };
}

/**
 * Chooses the next step of a new claim after a reply.
 *
 * A write whose answer was lost is read back; if its row is not there it is written again under
 * the same claim id, not given up: the lost one may still be on its way, and of two writes with
 * the same id it does not matter which takes effect.
 *
 * @param sent the row last sent
 * @param nowS wall time, seconds since the epoch
 */
export function chooseAcquireStep(sent: ClaimRow, reply: ClaimReply, nowS: number): ClaimStep {
  if (reply.kind === 'written') return { kind: 'done', row: sent };
  if (reply.kind === 'unknown') return { kind: 'read' };
  return chooseByCurrent(sent, reply.row, nowS);
}
