import type { GatewayBounds } from '../types';

/** Limits on the age of store data that VMs get from other VMs instead of from the store. */
export interface StalenessLimits {
  /** Highest age of the data of a VM that reads the store, between two answers of the store. */
  readonly freshMs: number;
  /** Age of its data above which a VM asks the store itself. */
  readonly staleMs: number;
}

/**
 * Time from detecting stale data to applying a change: a lost call (0.6 s), the pause after it, the
 * next call, and the transfer of a configuration of 2,000 routes over a slow link (0.6 s).
 */
const CATCH_UP_MS = 1500;

/**
 * Below this limit, the reading VM would call the store more often than all VMs do by themselves.
 */
const MIN_STALE_MS = 1000;

/** Leaves the other half of `staleMs` to detect the loss of the reading VM and replace it. */
const FRESH_FRACTION = 0.5;

/**
 * Computes how old store data may get when a few VMs read the store for all.
 *
 * A VM that hears of no change can't tell whether there was none or its source failed. It relies on
 * other VMs only as long as enough of `changeMs` is left to read the store itself.
 *
 * @returns the limits, or null if `changeMs` is so short that each VM has to read the store itself
 *
 * @example
 * computeStalenessLimits({ changeMs: 4000 }); // { freshMs: 1250, staleMs: 2500 }
 * computeStalenessLimits({ changeMs: 2000 }); // null
 */
export const computeStalenessLimits = ({
  changeMs,
}: Pick<GatewayBounds, 'changeMs'>): StalenessLimits | null => {
  const staleMs = changeMs - CATCH_UP_MS;
  return staleMs < MIN_STALE_MS ? null : { freshMs: staleMs * FRESH_FRACTION, staleMs };
};
