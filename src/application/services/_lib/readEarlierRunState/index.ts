import { ClaimState, RunState } from '../../../../domain/types';
import type { Claims } from '../../../ports';
import type { ServiceCall } from '../../types';
import { computeKeyDigest } from '../computeCallDigest';

/** Run state of a call by the state of its claim. */
export const RUN_STATE_BY_CLAIM: Readonly<Record<ClaimState, RunState>> = {
  [ClaimState.Running]: RunState.Unknown,
  [ClaimState.Finished]: RunState.Ran,
  [ClaimState.Failed]: RunState.NotRun,
};

/**
 * Reads the run state of an earlier call with the same key or request id.
 *
 * Otherwise a repeat that is refused before its claim would report `not-run` although the first
 * call ran and was billed, and the caller would send it again under another key.
 *
 * @returns the run state; `unknown` if the store does not answer
 */
export const readEarlierRunState = async (
  claims: Claims,
  source: ServiceCall,
): Promise<RunState> => {
  const read = await claims.readClaim(source.workspace, computeKeyDigest(source));
  if (read.isErr()) return RunState.Unknown;
  return read.value === null ? RunState.NotRun : RUN_STATE_BY_CLAIM[read.value.state];
};
