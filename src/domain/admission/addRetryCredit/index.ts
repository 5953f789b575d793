import type { RetryBudget } from '../types';

/**
 * Most credits that are saved up, and most by which resumes may overdraw: about the requests that
 * one VM has on the one or two engines that fail together.
 */
export const RETRY_BURST = 20;

/**
 * Adds to the budget what a first attempt earns.
 *
 * @param budget - the budget so far
 * @param retryBudget - extra attempts allowed as a part of first attempts, 0 to 1
 */
export function addRetryCredit(budget: RetryBudget, retryBudget: number): RetryBudget {
  return { credits: Math.min(RETRY_BURST, budget.credits + retryBudget) };
}
