import { DemandPurpose } from '../../types';
import { RETRY_BURST } from '../addRetryCredit';
import type { RetryBudget } from '../types';

/**
 * Minimum credits after an attempt of each purpose. A resume replaces a failed attempt, and
 * refusing it would lose a generation, so resumes may overdraw. Retries and hedges need credit.
 */
const MIN_CREDITS: Readonly<Record<DemandPurpose, number>> = {
  [DemandPurpose.Resume]: -RETRY_BURST,
  [DemandPurpose.Start]: 0,
  [DemandPurpose.Hedge]: 0,
};

/**
 * Takes the credit for an extra attempt from the budget.
 *
 * @returns the reduced budget, or null if the budget is exhausted
 */
export function acquireRetryCredit(
  budget: RetryBudget,
  purpose: DemandPurpose,
): RetryBudget | null {
  const credits = budget.credits - 1;
  return credits < MIN_CREDITS[purpose] ? null : { credits };
}
