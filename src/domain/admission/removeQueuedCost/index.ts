import type { FairQueueState } from '../types';

/**
 * Removes the cost of a demand that left the queue unserved.
 *
 * Without this a workspace whose callers give up would be put behind for work that it never got.
 */
export function removeQueuedCost(
  shares: FairQueueState,
  workspace: string,
  weight: number,
  cost: number,
): FairQueueState {
  const finishTags = new Map(shares.finishTags);
  finishTags.set(workspace, (finishTags.get(workspace) ?? 0) - cost / weight);
  return { ...shares, finishTags };
}
