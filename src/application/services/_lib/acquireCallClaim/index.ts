import { err, ok, type Result } from 'neverthrow';
import { ClaimState, type ClaimRow } from '../../../../domain/types';
import type { Claims, GenerationError } from '../../../ports';
import type { ServiceCall } from '../../types';
import { buildKeyReusedError, buildClaimTakenError, convertClaimError } from '../callErrors';
import { computeCallDigest, computeKeyDigest } from '../computeCallDigest';
import { RUN_STATE_BY_CLAIM } from '../readEarlierRunState';

/** Takes over the claim of a call that was certainly not sent, so that its repeat may run. */
const acquireFailedClaim = async (
  claims: Claims,
  row: ClaimRow,
): Promise<Result<ClaimRow, GenerationError>> => {
  const taken = await claims.takeOverClaim(row);
  if (taken.isErr()) return err(convertClaimError(taken.error));
  const running = await claims.updateClaim(taken.value, { state: ClaimState.Running });
  return running.mapErr(convertClaimError);
};

/**
 * Claims a call that may run only once, before its first byte is sent.
 *
 * @returns the claim row of this call; an error if another call has the key or the store is down
 */
export const acquireCallClaim = async (
  claims: Claims,
  source: ServiceCall,
): Promise<Result<ClaimRow, GenerationError>> => {
  const requestDigest = computeCallDigest(source);
  const claimed = await claims.acquireClaim({
    workspace: source.workspace,
    keyDigest: computeKeyDigest(source),
    generationId: source.call.requestId,
    requestDigest,
    idempotent: false,
  });
  if (claimed.isErr()) return err(convertClaimError(claimed.error));
  const { kind, row } = claimed.value;
  if (kind === 'granted') return ok(row);
  if (row.requestDigest !== requestDigest) return err(buildKeyReusedError());
  if (row.state === ClaimState.Failed) return acquireFailedClaim(claims, row);
  return err(buildClaimTakenError(RUN_STATE_BY_CLAIM[row.state]));
};
