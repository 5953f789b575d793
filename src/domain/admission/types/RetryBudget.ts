/** Budget from which retries, resumes and hedges draw. */
export interface RetryBudget {
  /** Extra attempts that may still be made; below 0 after resumes that overdrew it. */
  readonly credits: number;
}
