import { computeRetryAfterMs } from '../computeRetryAfterMs';

/** What is known of a new stream when it might be sent. */
export interface StreamAdmissionOptions {
  /** Predicted time to its first event at the best server. */
  readonly predictedMs: number;
  /** True: that server has no prompt to read before this one, and room for it. */
  readonly isFree: boolean;
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
export type StreamAdmission =
  | { readonly kind: 'send' }
  | { readonly kind: 'refuse'; readonly reason: string; readonly returnMs: number };

/**
 * Part of the latency goal within which a first event must be predicted. Predictions are short under
 * load, as runs slow the reading down and other VMs send at the same moment.
 */
const START_PART = 0.75;

/**
 * Decides whether a new stream is sent, or refused at once.
 *
 * Under a burst that servers can't read in time, each stream that is sent nonetheless delays all
 * that follow, until none is in time. Those that can begin within the goal are sent; the others come
 * back, once, when the burst may be over. Where a server is free, waiting can gain nothing: a prompt
 * that takes long to read takes as long later.
 */
export const decideStreamAdmission = ({
  draw,
  isFree,
  isReturning,
  latencyGoalMs,
  leftMs,
  overloadMs,
  predictedMs,
}: StreamAdmissionOptions): StreamAdmission => {
  const limitMs = isFree ? leftMs : Math.min(leftMs, latencyGoalMs * START_PART);
  if (predictedMs <= limitMs) return { kind: 'send' };
  return {
    kind: 'refuse',
    reason: 'no server begins within the goal',
    returnMs: isReturning
      ? 0
      : computeRetryAfterMs({
          // Not before the goal has passed: a return that soon is taken for a new caller.
          waitMs: Math.max(predictedMs, latencyGoalMs),
          outageMs: overloadMs,
          leftMs,
          draw,
        }),
  };
};
