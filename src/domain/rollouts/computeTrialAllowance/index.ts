import type { TrialBounds } from '../types';

/** Inputs of an allowance. */
export interface TrialAllowanceOptions {
  readonly bounds: TrialBounds;
  /** Requests of the service on this VM since the order. */
  readonly requests: number;
  /** Part of the bounds that this VM may use, 0 to 1; those of all VMs are 1 at most. */
  readonly share: number;
  /** Time since the order, in milliseconds. */
  readonly ageMs: number;
  /** Time that the order allows for the roll-out. */
  readonly durationMs: number;
  /**
   * Random number from 0 inclusive to 1 exclusive, one for each order: VMs must not round alike.
   */
  readonly draw: number;
}

/** Fraction of the bounds that is used: requests in flight and retries count as well. */
const USED_FRACTION = 0.4;

/** The extra requests are spread over this fraction of the time, since all VMs start at once. */
const SPREAD_FRACTION = 0.4;

/** Highest number of extra requests of one VM, in a small fleet. */
const MAX_EXTRA = 4;

/**
 * Computes how many requests in total a VM may send to a new version.
 *
 * The result is this VM's share of bounds that all VMs keep together, whatever they know of each other.
 */
export const computeTrialAllowance = ({
  ageMs,
  bounds,
  draw,
  durationMs,
  requests,
  share,
}: TrialAllowanceOptions): number => {
  const spread = Math.min(1, ageMs / Math.max(1, durationMs * SPREAD_FRACTION));
  const extra = Math.min(MAX_EXTRA, bounds.trialExtra * share) * spread;
  return Math.floor(USED_FRACTION * (bounds.trialRatio * requests + extra) + draw);
};
