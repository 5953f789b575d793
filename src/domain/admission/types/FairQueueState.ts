/** State of weighted fair queueing for a place. */
export interface FairQueueState {
  /** Start tag of the waiter that was served last. */
  readonly virtualTime: number;
  /** Finish tag of the last queued demand of each workspace, in virtual time. */
  readonly finishTags: ReadonlyMap<string, number>;
}
