/** What is known when a request is refused that may come back. */
export interface RetryAfterOptions {
  /** Predicted wait for a place; 0 if none is predicted. */
  readonly waitMs: number;
  /** How long what prevents it has lasted; 0 if it has just begun. */
  readonly outageMs: number;
  /** How long the caller still waits. */
  readonly leftMs: number;
  /** From 0 inclusive to 1 exclusive: callers must not return together. */
  readonly draw: number;
}

/** Callers come back no later than at this part of the time that they have left. */
const HONOURED_PART = 1 / 3;

/** Spread of the returns, as a part of the time. */
const SPREAD = 0.2;

/** An outage that has just begun lasts this long at least, in most cases. */
const MIN_RETURN_MS = 200;

/**
 * Computes when a refused caller is told to come back.
 *
 * Callers come back once: too soon is refused again, which is worse than late. A queue's wait is
 * known; an outage that has lasted for some time may be expected to last about as long again.
 *
 * @returns milliseconds
 *
 * @example
 * computeReturnMs({ waitMs: 0, outageMs: 2000, leftMs: 24000, draw: 0.5 }); // 2000
 */
export const computeRetryAfterMs = ({
  draw,
  leftMs,
  outageMs,
  waitMs,
}: RetryAfterOptions): number => {
  const wantedMs = Math.max(MIN_RETURN_MS, waitMs, outageMs);
  const spreadMs = wantedMs * (1 - SPREAD / 2 + SPREAD * draw);
  return Math.round(Math.max(1, Math.min(spreadMs, leftMs * HONOURED_PART)));
};
