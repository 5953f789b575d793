/** Retries that may still be made. */
export interface RetryBudget {
  readonly tokens: number;
}

/** How a retry budget fills. */
export interface RetryBudgetPolicy {
  /** Retries earned by each first try: 0.1 lets retries add at most a tenth to the load. */
  readonly retriesPerRequest: number;
  /** Most retries that can be saved up. */
  readonly maxTokens: number;
}
