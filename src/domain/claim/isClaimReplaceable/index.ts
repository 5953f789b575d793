import { ClaimState } from '../../types';
import type { StoredClaim } from '../types';

/** By how much the wall clocks of VMs and platform may differ, in seconds. */
export const MAX_CLOCK_SKEW_S = 300;

/**
 * Tells whether a row has served its time, so that a new claim may take its place.
 *
 * Running and non-idempotent rows never have: a VM whose wall clock jumped ahead would else run
 * work twice. Only the platform removes those.
 *
 * @param nowS wall time, seconds since the epoch
 */
export function isClaimReplaceable({ row, expiresAtS }: StoredClaim, nowS: number): boolean {
  const ended = row.state !== ClaimState.Running;
  return ended && row.idempotent && expiresAtS > 0 && nowS > expiresAtS + MAX_CLOCK_SKEW_S;
}
