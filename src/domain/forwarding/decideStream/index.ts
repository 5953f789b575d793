import { computeReturnMs } from '../computeReturnMs';

/** What is known of a new stream when it might be sent. */
export interface StreamChoice {
  /** Predicted time to its first event at the best server. */
  readonly predictedMs: number;
  readonly latencyGoalMs: number;
  /** How long the caller still waits. */
  readonly leftMs: number;
  /** True: the caller was refused before, and will not come back again. */
  readonly isReturning: boolean;
  /** Since when streams of the service could not be begun in time, or 0. */
  readonly overloadMs: number;
  /** From 0 inclusive to 1 exclusive. */
  readonly draw: number;
}

/** Send it now, or refuse it now and say when to come back. */
export type StreamDecision =
  | { readonly kind: 'send' }
  | { readonly kind: 'refuse'; readonly reason: string; readonly returnMs: number };

/**
 * Predictions past the goal by up to this factor are still sent: they are long rather than short,
 * as prompts ahead may be given up or go on elsewhere.
 */
const DOUBT_FACTOR = 1.1;

/**
 * Decides whether a new stream is sent, or refused at once.
 *
 * Under a burst that servers can't read in time, each stream that is sent nonetheless delays all
 * that follow, until none is in time. Those that can begin within the goal are sent; the others come
 * back, once, when the burst may be over.
 */
export const decideStream = ({
  draw,
  isReturning,
  latencyGoalMs,
  leftMs,
  overloadMs,
  predictedMs,
}: StreamChoice): StreamDecision => {
  const limitMs = Math.min(leftMs, latencyGoalMs * DOUBT_FACTOR);
  if (predictedMs <= limitMs) return { kind: 'send' };
  return {
    kind: 'refuse',
    reason: 'no server begins within the goal',
    returnMs: isReturning
      ? 0
      : computeReturnMs({ waitMs: predictedMs, outageMs: overloadMs, leftMs, draw }),
  };
};
