export type { RetryArrivals } from './RetryArrivals';
export type { RetryExcess } from './RetryExcess';
export type { RetryPlay, RetryTrouble } from './RetryPlay';
