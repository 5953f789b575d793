import { ClaimState } from '../../types';
import type { StoredClaim } from '../types';

/** Maximum difference between the wall clocks of the VMs and the platform, in seconds. */
export const MAX_CLOCK_SKEW_S = 300;

/**
 * Checks whether a row has expired, so that a new claim may replace it.
 *
 * Running and non-idempotent rows never expire here, since a VM whose wall clock jumped ahead would
 * otherwise run work twice. Only the platform removes such rows.
 *
 * @param nowS - wall time, in seconds since the epoch
 */
export function isClaimReplaceable({ row, expiresAtS }: StoredClaim, nowS: number): boolean {
  const ended = row.state !== ClaimState.Running;
  return ended && row.idempotent && expiresAtS > 0 && nowS > expiresAtS + MAX_CLOCK_SKEW_S;
}
