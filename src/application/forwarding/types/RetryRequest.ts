/** A request of one VM for a retry of another one. */
export interface RetryRequest {
  readonly service: string;
  /** Names the retry when it is returned; empty from a VM that returns none. */
  readonly id: string;
}

/** What became of a lent retry. */
export interface RetryReturn {
  readonly id: string;
  /** True if no server got the attempt; otherwise it has arrived. */
  readonly isUnused: boolean;
}
