/** Inputs of the level of a token bucket. */
export interface TokenBucketOptions {
  /** Times at which requests were sent, in ascending order; those before the window are ignored. */
  readonly sentAtMs: readonly number[];
  /** Rate limit in requests per second. */
  readonly limitPerS: number;
  readonly nowMs: number;
}

/** Only requests that were sent within this window count towards a limit. */
export const PERMIT_WINDOW_MS = 4000;

/** Size of a burst, in seconds of the rate limit. */
const BURST_S = 0.4;

const MS_PER_S = 1000;

/**
 * Computes how many requests a rate limit allows now.
 *
 * The result is the level of a token bucket that was full at the beginning of the window. It is
 * negative if more requests were sent than the limit allows. Any interval of up to 4 s then has at
 * most the requests of the rate limit and one burst, even if requests were sent before the limit
 * was known.
 *
 * @returns number of requests, at most the size of a burst
 *
 * @example
 * computeTokenBucketLevel({ sentAtMs: [900], limitPerS: 2, nowMs: 1000 }); // 0.2
 */
export const computeTokenBucketLevel = ({
  limitPerS,
  nowMs,
  sentAtMs,
}: TokenBucketOptions): number => {
  const burst = Math.max(1, limitPerS * BURST_S);
  const refill = (level: number, durationMs: number): number =>
    Math.min(burst, level + (Math.max(0, durationMs) * limitPerS) / MS_PER_S);
  const windowStartMs = nowMs - PERMIT_WINDOW_MS;
  const last = sentAtMs
    .filter((atMs) => atMs > windowStartMs)
    .reduce(({ atMs, level }, next) => ({ atMs: next, level: refill(level, next - atMs) - 1 }), {
      atMs: windowStartMs,
      level: burst,
    });
  return refill(last.level, nowMs - last.atMs);
};
