/** State of a bounded queue as a new demand finds it. */
export interface QueueOccupancy {
  readonly waiting: number;
  readonly waitingOfWorkspace: number;
  /** Most that may wait. */
  readonly maxWaiting: number;
  /** Weight of the workspace relative to the mean of all workspaces. */
  readonly relativeWeight: number;
}

/** Free room that a workspace of mean weight may fill, as a multiple of what is left free. */
const THRESHOLD_FACTOR = 1;

/**
 * Tells whether a bounded queue takes one more demand of a workspace.
 *
 * A dynamic threshold: a workspace may hold as many places as are still free, by its weight. One
 * alone gets half of the queue, and the room left is there at once for the others. Pushing out
 * waiters instead was ruled out: their refusal would come late.
 */
export function hasQueueCapacity(state: QueueOccupancy): boolean {
  const free = state.maxWaiting - state.waiting;
  if (free <= 0) return false;
  return state.waitingOfWorkspace < Math.max(1, free * THRESHOLD_FACTOR * state.relativeWeight);
}
