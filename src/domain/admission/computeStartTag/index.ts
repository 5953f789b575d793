import type { FairQueueState } from '../types';

/** A start tag, and the shares with the demand counted in. */
export interface StartTagResult {
  readonly startTag: number;
  readonly state: FairQueueState;
}

/**
 * Computes the start tag of a demand under start-time fair queueing.
 *
 * Served in the order of the tags, each backlogged workspace gets work in proportion to its weight.
 * A workspace that was idle starts at the present virtual time: it loses nothing, and saves up
 * nothing; what it leaves is borrowed by the others.
 *
 * @param shares - state of the place
 * @param workspace - name of the workspace
 * @param weight - its weight, above 0
 * @param cost - expected work of the demand, in tokens
 */
export function computeStartTag(
  shares: FairQueueState,
  workspace: string,
  weight: number,
  cost: number,
): StartTagResult {
  const startTag = Math.max(shares.virtualTime, shares.finishTags.get(workspace) ?? 0);
  const finishTags = new Map(shares.finishTags);
  finishTags.set(workspace, startTag + cost / weight);
  return { startTag, state: { ...shares, finishTags } };
}
