import type { FairQueueState } from '../types';

/** A start tag, and the state of the queue after the demand was added. */
export interface StartTagResult {
  readonly startTag: number;
  readonly state: FairQueueState;
}

/**
 * Computes the start tag of a demand under start-time fair queueing.
 *
 * When demands are served in the order of their tags, each backlogged workspace gets service in
 * proportion to its weight. A workspace that was idle starts at the current virtual time: it
 * keeps its share and accumulates no credit. Other workspaces use the share of an idle one.
 *
 * @param state - state of the queue
 * @param workspace - name of the workspace
 * @param weight - weight of the workspace, greater than 0
 * @param cost - expected work of the demand, in tokens
 */
export function computeStartTag(
  state: FairQueueState,
  workspace: string,
  weight: number,
  cost: number,
): StartTagResult {
  const startTag = Math.max(state.virtualTime, state.finishTags.get(workspace) ?? 0);
  const finishTags = new Map(state.finishTags);
  finishTags.set(workspace, startTag + cost / weight);
  return { startTag, state: { ...state, finishTags } };
}
