/** How long a lease lasts after a renewal. */
export const LEASE_DURATION_MS = 10_000;

/** Time between renewals: two may fail before the lease is in danger. */
export const LEASE_RENEWAL_INTERVAL_MS = 3_000;

/**
 * Time before the end of the lease from which no order is sent: longer than the longest order call
 * (2 s), so that an order is answered or given up while the lease still lasts.
 */
export const ORDER_MARGIN_MS = 2_500;

/**
 * Time that a new holder waits beyond the old lease: for an order that its sender gave up, but that
 * the network still carries, and for clocks of which one runs up to 10% faster than the other.
 */
export const TAKEOVER_MARGIN_MS = 2_500;
