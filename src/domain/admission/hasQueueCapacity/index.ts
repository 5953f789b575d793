/** Occupancy of a bounded queue when a new demand arrives. */
export interface QueueOccupancy {
  readonly waiting: number;
  readonly waitingOfWorkspace: number;
  /** Maximum number of demands in the queue. */
  readonly maxWaiting: number;
  /** Weight of the workspace relative to the mean of all workspaces. */
  readonly relativeWeight: number;
}

/** Entries that a workspace of mean weight may hold, as a multiple of the free entries. */
const THRESHOLD_FACTOR = 1;

/**
 * Checks whether a bounded queue accepts another demand of a workspace.
 *
 * Uses a dynamic threshold: a workspace may hold as many entries as are still free, scaled by its
 * weight. A single busy workspace gets half of the queue, and the other half is immediately
 * available to other workspaces. Evicting queued demands instead was ruled out, since evicted
 * demands would be refused late.
 */
export function hasQueueCapacity(state: QueueOccupancy): boolean {
  const free = state.maxWaiting - state.waiting;
  if (free <= 0) return false;
  return state.waitingOfWorkspace < Math.max(1, free * THRESHOLD_FACTOR * state.relativeWeight);
}
