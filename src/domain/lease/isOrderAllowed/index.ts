import type { HeldLease } from '../types';

/**
 * Checks whether the holder of a lease may still send an order.
 *
 * Without this check, a holder that was paused beyond the end of its lease would still send orders,
 * and an engine that ignores fencing tokens would apply an old order after one of the new holder.
 * The lease is counted from before the renewal was sent, so it ends earlier for the holder than for
 * other VMs.
 *
 * @param held - the lease, or null
 * @param nowMs - monotonic time immediately before the send, in milliseconds
 * @param marginMs - longest time until an order completes or times out, in milliseconds
 */
export function isOrderAllowed(held: HeldLease | null, nowMs: number, marginMs: number): boolean {
  return held !== null && nowMs + marginMs < held.renewedAtMs + held.durationMs;
}
