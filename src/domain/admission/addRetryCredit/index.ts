import type { RetryBudget } from '../types';

/**
 * Maximum number of saved credits, and maximum overdraft by resumes: about the number of requests
 * that one VM has on the one or two engines that fail together.
 */
export const RETRY_BURST = 20;

/**
 * Adds the credit for a first attempt to the budget.
 *
 * @param budget - the current budget
 * @param retryBudget - extra attempts allowed as a fraction of first attempts, 0 to 1
 */
export function addRetryCredit(budget: RetryBudget, retryBudget: number): RetryBudget {
  return { credits: Math.min(RETRY_BURST, budget.credits + retryBudget) };
}
