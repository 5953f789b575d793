import { DemandPurpose } from '../../types';
import { RETRY_BURST } from '../addRetryCredit';
import type { RetryBudget } from '../types';

/**
 * How far each purpose may draw the budget down. A resume replaces an attempt that died, and a
 * refusal would lose a generation; a retry or a hedge is only sent while there is credit.
 */
const LOWEST_CREDITS: Readonly<Record<DemandPurpose, number>> = {
  [DemandPurpose.Resume]: -RETRY_BURST,
  [DemandPurpose.Start]: 0,
  [DemandPurpose.Hedge]: 0,
};

/**
 * Acquires leave for an extra attempt.
 *
 * @returns the budget without the credit, or null if it is spent
 */
export function acquireRetryCredit(
  budget: RetryBudget,
  purpose: DemandPurpose,
): RetryBudget | null {
  const credits = budget.credits - 1;
  return credits < LOWEST_CREDITS[purpose] ? null : { credits };
}
