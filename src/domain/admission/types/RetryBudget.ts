/** Budget for extra attempts: retries, resumes and hedges. */
export interface RetryBudget {
  /** Remaining extra attempts; negative after resumes that overdrew the budget. */
  readonly credits: number;
}
