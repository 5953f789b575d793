import type { GatewayBounds } from '../types';

/** Time by which a call that waited in vain may be late: the store client's own margin. */
const OVERDUE_MS = 600;

/** Shorter waits would be polling; a store that answers at once is asked this often at most. */
const MIN_WAIT_MS = 1000;

/**
 * Computes how long one call to the store may wait for changes.
 *
 * A connection that fell silent is noticed only when the answer is overdue. The VM counts as
 * undisturbed `settleMs` after its path is back, and has `changeMs` from then on for a change that
 * it missed meanwhile: the call that was lost must have been given up by then.
 *
 * @returns milliseconds
 *
 * @example
 * computeFollowWait({ settleMs: 3000, changeMs: 2000 }); // 4400
 */
export const computeFollowWait = ({
  changeMs,
  settleMs,
}: Pick<GatewayBounds, 'changeMs' | 'settleMs'>): number =>
  Math.max(MIN_WAIT_MS, settleMs + changeMs - OVERDUE_MS);
