export type { WorkClassPolicy, ServerSlots } from './WorkClassPolicy';
export type { FairQueueState } from './FairQueueState';
export type { RetryBudget } from './RetryBudget';
export type { Waiter } from './Waiter';
