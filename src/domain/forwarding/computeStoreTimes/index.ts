import { computeLongPollMs } from '../computeLongPollMs';
import type { GatewayBounds } from '../types';

/** Times of the calls that follow the store, in milliseconds. */
export interface StoreTimes {
  /** How long a call waits for changes. */
  readonly waitMs: number;
  /** An answer that is late by this much is asked for again, on a new connection. */
  readonly overdueMs: number;
  /** Longest time between two calls while none is answered. */
  readonly repeatMs: number;
  /** Age up to which rows are taken for current: they hold all that had to be in force. */
  readonly claimMs: number;
}

/**
 * Parts of `changeMs`. After the store's return the next call is sent within `repeatMs`. Two calls in
 * a row may be lost, so that a change is known after three `repeatMs` and a whole read, which leaves a
 * quarter of `changeMs` to a VM that is short of processor.
 */
const OVERDUE_FRACTION = 0.1;
const REPEAT_FRACTION = 0.2;

/** Leaves a margin for the answer to the caller. */
const CLAIM_FRACTION = 0.95;

/**
 * Computes the times of the calls to the store from the time within which a change has to be in force
 * (`changeMs`), and the time after which an undisturbed VM has to be up to date again (`settleMs`).
 *
 * A call that waits when its connection dies is the longest step: `waitMs`, `overdueMs` and two lost
 * calls fit into `settleMs`.
 *
 * @example
 * computeStoreTimes({ changeMs: 2000, settleMs: 3000 });
 * // { waitMs: 1700, overdueMs: 200, repeatMs: 400, claimMs: 1900 }
 */
export const computeStoreTimes = ({
  changeMs,
  settleMs,
}: Pick<GatewayBounds, 'changeMs' | 'settleMs'>): StoreTimes => {
  const overdueMs = changeMs * OVERDUE_FRACTION;
  const claimMs = changeMs * CLAIM_FRACTION;
  return {
    // An idle VM's rows do not get older than what it takes for current.
    waitMs: Math.min(computeLongPollMs({ settleMs }), claimMs - overdueMs),
    overdueMs,
    repeatMs: changeMs * REPEAT_FRACTION,
    claimMs,
  };
};
