export { findRetryExcess } from './findRetryExcess';
export { simulateRetries } from './simulateRetries';
export type { RetryArrivals, RetryExcess, RetryPlay, RetryTrouble } from './types';
