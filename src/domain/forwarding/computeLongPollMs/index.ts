import type { GatewayBounds } from '../types';

/** Margin of the store client: an answer to a long poll may be late by this much. */
const ANSWER_MARGIN_MS = 600;

/**
 * Time from giving up a call to applying the changes that the call missed: the pause before the
 * next call (0.1 s) and the transfer of a configuration of 2,000 routes over 7 Mbit/s (0.6 s).
 */
const CATCH_UP_MS = 700;

/** Shortest wait, below which long polling would turn into frequent short polling. */
const MIN_POLL_MS = 1000;

/**
 * Computes how long one call to the store may wait for changes (long polling).
 *
 * A lost call is detected only when its answer is overdue. A VM has to be up to date `settleMs`
 * after its connection to the store is restored. By then it must have given up a call that was sent
 * just before the connection came back, and the next call must have been answered. With longer
 * polls changes are applied too late after an outage.
 *
 * @returns milliseconds
 *
 * @example
 * computeLongPollMs({ settleMs: 3000 }); // 1700
 */
export const computeLongPollMs = ({ settleMs }: Pick<GatewayBounds, 'settleMs'>): number =>
  Math.max(MIN_POLL_MS, settleMs - ANSWER_MARGIN_MS - CATCH_UP_MS);
