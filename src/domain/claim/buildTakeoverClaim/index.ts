import type { ClaimRow } from '../../types';
import type { Claimant } from '../types';

/**
 * Builds the row of a VM that takes over a claim: the same generation under a new claim id.
 *
 * The revision increases by a random amount, not by 1. The first holder may be paused while it
 * resolves a lost response. If the platform removes the row meanwhile, the holder writes its claim
 * again and increments its old first revision, possibly up to the revision that its successor
 * expects. An update by the successor would then replace the row of the first holder. The state
 * space search in tests/model found this case.
 */
export function buildTakeoverClaim(seen: ClaimRow, claimant: Claimant): ClaimRow {
  return { ...seen, ...claimant, revision: seen.revision + claimant.revision };
}
