export type { RetryArrivals } from './RetryArrivals';
export type { RetryExcess } from './RetryExcess';
