import type { HeldLease } from '../types';

/**
 * Tells whether the holder may still send an order.
 *
 * What goes wrong without it: a holder that was paused past its lease still believes that it holds
 * it, and an engine that ignores fencing tokens takes its old order after the new holder's. The
 * lease counts from before the renewal was sent, so its end here comes before its end for others.
 *
 * @param held - the lease, or null
 * @param nowMs - monotonic time right before the send, in milliseconds
 * @param marginMs - time that an order needs until it is answered or given up, in milliseconds
 */
export function isOrderAllowed(held: HeldLease | null, nowMs: number, marginMs: number): boolean {
  return held !== null && nowMs + marginMs < held.renewedAtMs + held.durationMs;
}
