import { computeRetryAfterMs } from '../../forwarding';

/** State on which it depends whether a demand waits. */
export interface WaitingOptions {
  /** Predicted time until a server can begin the stream; infinite if none is predicted. */
  readonly waitMs: number;
  /** The same if the stream is served after all that can begin within their goals. */
  readonly lateWaitMs: number;
  /** Prefill of the prompt without other prefills. */
  readonly prefillMs: number;
  /** Shortest time from the start of the prefill to the end of the output. */
  readonly runMs: number;
  readonly goalLeftMs: number;
  readonly leftMs: number;
  /** Longest wait that does not cost room; see `computeMaxWaitMs`. */
  readonly maxWaitMs: number;
  readonly isReturning: boolean;
  /** Random number, from 0 inclusive to 1 exclusive. */
  readonly draw: number;
}

/** Time for the messages to the VM and the server, and for the step that makes the first event. */
export const START_MARGIN_MS = 300;

/** The demand waits, in time or after its goal, or is refused (`returnMs` 0: no retry). */
export type WaitingDecision =
  | { readonly kind: 'wait'; readonly predictedMs: number; readonly isLate: boolean }
  | { readonly kind: 'refuse'; readonly reason: string; readonly returnMs: number };

/**
 * Decides whether a demand that can't begin now waits.
 *
 * It waits if it is predicted to begin within its goal. A demand whose goal has passed, or whose
 * caller will not retry, also waits if it can be served late, after all demands that are within
 * their goals. Others are refused at once, while their callers have time to come back.
 */
export const decideWaiting = ({
  draw,
  goalLeftMs,
  isReturning,
  lateWaitMs,
  leftMs,
  maxWaitMs,
  prefillMs,
  runMs,
  waitMs,
}: WaitingOptions): WaitingDecision => {
  const isInGoal = waitMs + prefillMs + START_MARGIN_MS <= goalLeftMs;
  if (isInGoal && waitMs <= maxWaitMs) {
    return { kind: 'wait', predictedMs: waitMs, isLate: false };
  }
  const mayBeLate = isReturning || goalLeftMs < prefillMs + START_MARGIN_MS;
  if (mayBeLate && lateWaitMs + 2 * runMs <= leftMs) {
    return { kind: 'wait', predictedMs: lateWaitMs, isLate: true };
  }
  const returnMs = isReturning
    ? 0
    : computeRetryAfterMs({ waitMs: Math.min(waitMs, lateWaitMs), outageMs: 0, leftMs, draw });
  return { kind: 'refuse', reason: 'no server begins within the goal', returnMs };
};
