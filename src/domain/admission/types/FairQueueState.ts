/** State of weighted fair queueing within a place. */
export interface FairQueueState {
  /** Start tag of the newest served waiter. */
  readonly virtualTime: number;
  /** Virtual time at which each workspace's queued work ends. */
  readonly finishTags: ReadonlyMap<string, number>;
}
