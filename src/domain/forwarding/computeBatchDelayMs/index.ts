import type { GatewayBounds } from '../types';

/** Part of the time that a change has; the rest is for the call, and for one that fails. */
const PAUSE_PART = 0.3;

/**
 * Computes how long the next call to the store waits after changes have come: they come in bursts,
 * and what follows within the pause needs no call of its own.
 *
 * @returns milliseconds
 *
 * @example
 * computeBurstPause({ changeMs: 2000 }); // 600
 */
export const computeBatchDelayMs = ({ changeMs }: Pick<GatewayBounds, 'changeMs'>): number =>
  changeMs * PAUSE_PART;
