import type { GatewayBounds } from '../types';

/** An answer to a waiting call may be late by this much: the store client's own margin. */
const OVERDUE_MS = 600;

/**
 * From a call that is given up to what it missed being in force: the pause before the next call
 * (0.1 s), and a configuration of 2,000 routes over 7 Mbit/s (0.6 s).
 */
const RECOVER_MS = 700;

/** Shorter waits would be polling; a store that answers at once is asked this often at most. */
const MIN_WAIT_MS = 1000;

/**
 * Computes how long one call to the store may wait for changes.
 *
 * A call that waits says nothing, so that one which was lost shows only when its answer is overdue.
 * The VM counts as undisturbed `settleMs` after its path is back, and must have by then whatever it
 * missed: a call that was sent just before the path was back must have been given up, and the next
 * one answered. Longer waits leave changes overdue after an outage.
 *
 * @returns milliseconds
 *
 * @example
 * computeFollowWait({ settleMs: 3000 }); // 1700
 */
export const computeLongPollMs = ({ settleMs }: Pick<GatewayBounds, 'settleMs'>): number =>
  Math.max(MIN_WAIT_MS, settleMs - OVERDUE_MS - RECOVER_MS);
