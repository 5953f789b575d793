export { checkBreaker } from './checkBreaker';
export type { BreakerLeave, BreakerRefusal } from './checkBreaker';
export { computeBackoffMs } from './computeBackoffMs';
export * from './types';
export { updateBreaker } from './updateBreaker';
export type { CallEnd } from './updateBreaker';
export { updateRetryBudget } from './updateRetryBudget';
export type { RetryBudgetEvent } from './updateRetryBudget';
