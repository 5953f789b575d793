import type { GatewayBounds } from '../types';

/** Fraction of `changeMs`; the rest is left for the next call and for one that fails. */
const DELAY_FRACTION = 0.3;

/**
 * Computes the delay between receiving changes and the next call to the store.
 *
 * Changes come in bursts: those that follow within the delay are fetched by one call.
 *
 * @returns milliseconds
 *
 * @example
 * computeBatchDelayMs({ changeMs: 2000 }); // 600
 */
export const computeBatchDelayMs = ({ changeMs }: Pick<GatewayBounds, 'changeMs'>): number =>
  changeMs * DELAY_FRACTION;
