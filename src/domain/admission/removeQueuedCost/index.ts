import type { FairQueueState } from '../types';

/**
 * Removes the cost of a demand that left the queue without being served.
 *
 * Otherwise a workspace whose callers cancel would be charged for work that was never done.
 */
export function removeQueuedCost(
  state: FairQueueState,
  workspace: string,
  weight: number,
  cost: number,
): FairQueueState {
  const finishTags = new Map(state.finishTags);
  finishTags.set(workspace, (finishTags.get(workspace) ?? 0) - cost / weight);
  return { ...state, finishTags };
}
