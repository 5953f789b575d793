export type { BackoffPolicy } from './BackoffPolicy';
export { CLOSED_BREAKER } from './Breaker';
export type { Breaker } from './Breaker';
export type { BreakerPolicy } from './BreakerPolicy';
export type { RetryHistory } from './RetryHistory';
export type { RetryBudget, RetryBudgetPolicy } from './RetryBudget';
