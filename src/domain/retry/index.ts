export { checkBreaker } from './checkBreaker';
export type { AllowedCall, BreakerRefusal } from './checkBreaker';
export { computeBackoffMs } from './computeBackoffMs';
export * from './types';
export { updateBreaker } from './updateBreaker';
export type { CallResult } from './updateBreaker';
export { updateRetryBudget } from './updateRetryBudget';
export type { RetryBudgetEvent } from './updateRetryBudget';
