import type { RequestClass } from './RequestClass';

/** What the order of a waiting demand depends on. */
export interface WaitingDemand {
  readonly requestClass: RequestClass;
  readonly isResumed: boolean;
  /** True if the stream can no longer begin within its goal. */
  readonly isLate: boolean;
  /** Virtual time at which the demand is served under fair queueing. */
  readonly startTag: number;
  readonly isReturning: boolean;
  /** Monotonic time of the demand's first arrival at a scheduler, in milliseconds. */
  readonly arrivedAtMs: number;
}
