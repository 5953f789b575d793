/** Duration of a lease after a renewal. */
export const LEASE_DURATION_MS = 10_000;

/** Interval between renewals; two may fail before the lease is at risk. */
export const LEASE_RENEWAL_INTERVAL_MS = 3_000;

/**
 * No order is sent in this time before the end of the lease. The margin is longer than the timeout
 * of an order call (2 s), so that each order completes or times out before the lease ends.
 */
export const ORDER_MARGIN_MS = 2_500;

/**
 * Time that a new holder waits after the end of the old lease. Covers orders that timed out at the
 * sender but are still in the network, and clocks that run up to 10% faster than others.
 */
export const TAKEOVER_MARGIN_MS = 2_500;
