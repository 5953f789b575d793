import type { RetryBudget, RetryBudgetPolicy } from '../types';

/** Event that changes a retry budget. */
export type RetryBudgetEvent = 'request' | 'retry';

/** Retries that an event takes from the budget; negative for those that it adds. */
const COST: Readonly<Record<RetryBudgetEvent, (policy: RetryBudgetPolicy) => number>> = {
  request: (policy) => -policy.retriesPerRequest,
  retry: () => 1,
};

/**
 * Updates a retry budget after a first attempt or a retry.
 *
 * @returns the new budget, or null if none is left for the retry
 *
 * @example
 * updateRetryBudget({ tokens: 1.2 }, 'retry', policy); // about { tokens: 0.2 }
 */
export function updateRetryBudget(
  budget: RetryBudget,
  event: RetryBudgetEvent,
  policy: RetryBudgetPolicy,
): RetryBudget | null {
  const tokens = Math.min(policy.maxTokens, budget.tokens - COST[event](policy));
  return tokens < 0 ? null : { tokens };
}
