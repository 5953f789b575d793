import { ClaimState, RunState } from '../../../../domain/types';
import type { Claims } from '../../../ports';
import type { ServiceCall } from '../../types';
import { computeKeyDigest } from '../computeCallDigest';

/** What a claim's state says of whether its call ran. */
export const RUN_STATE_BY_CLAIM: Readonly<Record<ClaimState, RunState>> = {
  [ClaimState.Running]: RunState.Unknown,
  [ClaimState.Finished]: RunState.Ran,
  [ClaimState.Failed]: RunState.NotRun,
};

/**
 * Reads whether an earlier call under the same key or request id ran.
 *
 * A repeat that is refused before its claim would else be told `not-run` although the first one
 * billed, and the caller would send it again under another key.
 *
 * @returns `unknown` also if the store does not answer
 */
export const readEarlierRunState = async (
  claims: Claims,
  source: ServiceCall,
): Promise<RunState> => {
  const read = await claims.readClaim(source.workspace, computeKeyDigest(source));
  if (read.isErr()) return RunState.Unknown;
  return read.value === null ? RunState.NotRun : RUN_STATE_BY_CLAIM[read.value.state];
};
