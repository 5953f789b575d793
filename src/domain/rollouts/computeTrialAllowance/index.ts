import type { TrialBounds } from '../types';

/** What an allowance follows from. */
export interface TrialAllowanceOptions {
  readonly bounds: TrialBounds;
  /** The service's requests at this VM since the order. */
  readonly requests: number;
  /** VMs that share the bounds. */
  readonly vms: number;
  /** Since the order, in milliseconds. */
  readonly ageMs: number;
  readonly durationMs: number;
  /** From 0 inclusive to 1 exclusive, drawn once an order: VMs must not round alike. */
  readonly draw: number;
}

/** Part of the bounds that is used: what is on its way or sent twice counts as well. */
const USED_PART = 0.4;

/** What is free of charge is spread over this part of the time, as all VMs begin at once. */
const SPREAD_PART = 0.4;

/** Most that one VM takes of what is free: in a small fleet, or where it knows of few others. */
const MAX_EXTRA = 4;

/**
 * Computes how many requests a VM may send to a new version in all: its part of bounds that all VMs
 * keep together, without asking each other.
 */
export const computeTrialAllowance = ({
  ageMs,
  bounds,
  draw,
  durationMs,
  requests,
  vms,
}: TrialAllowanceOptions): number => {
  const spread = Math.min(1, ageMs / Math.max(1, durationMs * SPREAD_PART));
  const extra = Math.min(MAX_EXTRA, bounds.trialExtra / Math.max(1, vms)) * spread;
  return Math.floor(USED_PART * (bounds.trialRatio * requests + extra) + draw);
};
