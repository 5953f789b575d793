export { findRetryExcess } from './findRetryExcess';
export type { RetryArrivals, RetryExcess } from './types';
