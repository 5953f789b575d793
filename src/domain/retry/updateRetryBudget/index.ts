import type { RetryBudget, RetryBudgetPolicy } from '../types';

/** What changes a retry budget. */
export type RetryBudgetEvent = 'request' | 'retry';

const COST: Readonly<Record<RetryBudgetEvent, (policy: RetryBudgetPolicy) => number>> = {
  request: (policy) => -policy.retriesPerRequest,
  retry: () => 1,
};

/**
 * Gives the budget after a first try or a retry, or null if there is none left for the retry.
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
