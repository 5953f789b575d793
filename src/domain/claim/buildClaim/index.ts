import { ClaimState, type ClaimRow } from '../../types';
import type { Claimant } from '../types';

/** The fields of a claim that come from the request. */
export type ClaimedRequest = Pick<
  ClaimRow,
  'workspace' | 'keyDigest' | 'generationId' | 'requestDigest' | 'idempotent'
>;

/**
 * Builds the row of a new claim.
 *
 * The first revision is random. If all rows started at 1, a VM that was paused while its row was
 * removed and claimed again could find its old revision in the new row. Its late update would then
 * overwrite the row of the new holder, and the key would return the answer of another generation.
 */
export function buildClaim(request: ClaimedRequest, claimant: Claimant): ClaimRow {
  const { workspace, keyDigest, generationId, requestDigest, idempotent } = request;
  return {
    workspace,
    keyDigest,
    generationId,
    requestDigest,
    idempotent,
    ...claimant,
    backendServer: '',
    streamId: '',
    attempt: 0,
    state: ClaimState.Running,
  };
}
