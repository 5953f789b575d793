export type { ClassPolicy, ServerRoom } from './ClassPolicy';
export type { FairShares } from './FairShares';
export type { RetryBudget } from './RetryBudget';
export type { Waiter } from './Waiter';
