import { ClaimState, type ClaimRow } from '../../types';
import type { Claimant } from '../types';

/** The parts of a claim that come from the request. */
export type ClaimedRequest = Pick<
  ClaimRow,
  'workspace' | 'keyDigest' | 'generationId' | 'requestDigest' | 'idempotent'
>;

/**
 * Builds the row of a new claim.
 *
 * Its first revision is random. If all rows began at 1, a VM that was paused while its row was
 * removed and claimed anew could meet its own old revision again, and its late update would pass
 * for the new holder's; one would notice an answer of another generation under the key.
 */
export function buildClaim(request: ClaimedRequest, seed: Claimant): ClaimRow {
  const { workspace, keyDigest, generationId, requestDigest, idempotent } = request;
  return {
    workspace,
    keyDigest,
    generationId,
    requestDigest,
    idempotent,
    ...seed,
    backendServer: '',
    streamId: '',
    attempt: 0,
    state: ClaimState.Running,
  };
}
