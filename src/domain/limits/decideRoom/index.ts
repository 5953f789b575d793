import type { PermitDecision } from '../types';

/** Inputs of the decision. */
export interface RoomOptions {
  /** Requests that are at the server, or may be. */
  readonly held: number;
  /** Requests that the server runs at a time. */
  readonly slots: number;
  /** Rejections per second above which the server falls over. */
  readonly maxRejectionsPerS: number;
  /** Time since each of the server's recent rejections, in milliseconds. */
  readonly rejectionAgesMs: readonly number[];
  /** VMs that recently asked for room at the server. */
  readonly askingVms: number;
  /** Random number, from 0 inclusive to 1 exclusive. */
  readonly draw: number;
}

const WINDOW_MS = 1000;

/** A rejection takes one slot from the room for this long. */
const REDUCTION_MS = 4000;

/**
 * Part of the rejections that the server bears, after which nothing is sent until the window has
 * passed. Requests that are on their way may still be rejected.
 */
const REJECTION_FRACTION = 0.5;

const MIN_WAIT_MS = 10;

/** Spread of the waits for each VM that asks for one slot. */
const WAIT_SPREAD_MS = 10;

const MAX_WAIT_MS = 1000;

/**
 * Decides whether a brittle server has room for one more request.
 *
 * A server may let fewer requests wait at any time, so that only its slots count as room. Each
 * rejection shows that it has less room than it states. The more VMs ask, the less often each of
 * them does.
 */
export const decideRoom = ({
  askingVms,
  draw,
  held,
  maxRejectionsPerS,
  rejectionAgesMs,
  slots,
}: RoomOptions): PermitDecision => {
  const inWindow = rejectionAgesMs.filter((ageMs) => ageMs < WINDOW_MS);
  const maxInWindow = Math.max(1, Math.floor(maxRejectionsPerS * REJECTION_FRACTION));
  if (inWindow.length >= maxInWindow) {
    return { isGranted: false, waitMs: Math.ceil(WINDOW_MS - Math.max(...inWindow)) };
  }
  const reductions = rejectionAgesMs.filter((ageMs) => ageMs < REDUCTION_MS).length;
  if (held < Math.max(1, slots - reductions)) return { isGranted: true, waitMs: 0 };
  const spreadMs = WAIT_SPREAD_MS * Math.max(1, askingVms / slots);
  const waitMs = Math.min(MAX_WAIT_MS, MIN_WAIT_MS + draw * spreadMs);
  return { isGranted: false, waitMs: Math.round(waitMs) };
};
