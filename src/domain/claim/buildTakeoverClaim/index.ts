import type { ClaimRow } from '../../types';
import type { Claimant } from '../types';

/**
 * Builds the row of a VM that takes a claim over: the same generation under a claim id of its own.
 *
 * The revision grows by a random amount, not by 1. The first holder may be paused while it resolves
 * a lost answer; if the platform removes the row meanwhile, it writes its claim anew and counts on
 * from its old first revision, up to the very one that its successor expects. The successor's
 * update would then replace a row that is not its own; the search in tests/model found it.
 */
export function buildTakeoverClaim(seen: ClaimRow, seed: Claimant): ClaimRow {
  return { ...seen, ...seed, revision: seen.revision + seed.revision };
}
