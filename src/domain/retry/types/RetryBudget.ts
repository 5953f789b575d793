/** Number of retries that are still allowed. */
export interface RetryBudget {
  readonly tokens: number;
}

/** Rate and size of a retry budget. */
export interface RetryBudgetPolicy {
  /** Retries earned by each first attempt: 0.1 limits the load of retries to a tenth. */
  readonly retriesPerRequest: number;
  /** Highest number of retries that can be accumulated. */
  readonly maxTokens: number;
}
