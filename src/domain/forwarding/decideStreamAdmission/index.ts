import { computeRetryAfterMs } from '../computeRetryAfterMs';

/** State on which the admission of a new stream depends. */
export interface StreamAdmissionOptions {
  /** Predicted time to the first event on the best server. */
  readonly predictedMs: number;
  /** True if that server has no other prompt to prefill first, and enough KV memory. */
  readonly isFree: boolean;
  readonly latencyGoalMs: number;
  /** Time left until the caller's deadline. */
  readonly leftMs: number;
  /** True if the caller was refused before, and will not retry again. */
  readonly isReturning: boolean;
  /** How long the service has been unable to start streams in time; 0 if it is able to. */
  readonly overloadMs: number;
  /** Random number, from 0 inclusive to 1 exclusive. */
  readonly draw: number;
}

/** The stream is sent now, or refused with a time after which to retry (0: no retry). */
export type StreamAdmission =
  | { readonly kind: 'send' }
  | { readonly kind: 'refuse'; readonly reason: string; readonly returnMs: number };

/**
 * Highest prediction that is admitted, as a fraction of the latency goal. Predictions are too low
 * under load: runs slow prefill down, and other VMs send at the same moment.
 */
const ADMITTED_GOAL_FRACTION = 0.75;

/**
 * Decides whether a new stream is sent or refused (admission control).
 *
 * In a burst that exceeds the prefill capacity, each stream that is sent too late delays all that
 * follow, until none meets the goal. Streams that can start within the goal are sent; callers of
 * the others retry once, when the burst may be over. A free server gets the stream as long as the
 * caller still waits for it: a long prefill takes no less time later.
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
  const limitMs = isFree ? leftMs : Math.min(leftMs, latencyGoalMs * ADMITTED_GOAL_FRACTION);
  if (predictedMs <= limitMs) return { kind: 'send' };
  return {
    kind: 'refuse',
    reason: 'no server begins within the goal',
    returnMs: isReturning
      ? 0
      : computeRetryAfterMs({
          // A retry before the goal has passed would be taken for a new caller (`isReturning`).
          waitMs: Math.max(predictedMs, latencyGoalMs),
          outageMs: overloadMs,
          leftMs,
          draw,
        }),
  };
};
