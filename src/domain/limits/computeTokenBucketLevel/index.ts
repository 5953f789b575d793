/** What the level follows from. */
export interface TokenBucketOptions {
  /** When requests were sent, in order; those before the window count no more. */
  readonly sentAtMs: readonly number[];
  /** Requests a second. */
  readonly limitPerS: number;
  readonly nowMs: number;
}

/** Requests that were sent within this time count for a limit. */
export const PERMIT_WINDOW_MS = 4000;

/** Part of a second whose requests may come at once. */
const BURST_S = 0.4;

const MS_PER_S = 1000;

/**
 * Computes how many requests a rate limit allows now: the level of a token bucket that was full at the
 * beginning of the window. It is negative while more were sent than the limit allows.
 *
 * Any window of up to 4 s then has at most its part of the limit and one burst, also where requests
 * were sent before the limit was known.
 *
 * @returns requests, at most the size of a burst
 *
 * @example
 * computePermitLevel({ sentAtMs: [900], limitPerS: 2, nowMs: 1000 }); // 0.2
 */
export const computeTokenBucketLevel = ({
  limitPerS,
  nowMs,
  sentAtMs,
}: TokenBucketOptions): number => {
  const burst = Math.max(1, limitPerS * BURST_S);
  const fill = (level: number, durationMs: number): number =>
    Math.min(burst, level + (Math.max(0, durationMs) * limitPerS) / MS_PER_S);
  const sinceMs = nowMs - PERMIT_WINDOW_MS;
  const last = sentAtMs
    .filter((atMs) => atMs > sinceMs)
    .reduce(({ atMs, level }, next) => ({ atMs: next, level: fill(level, next - atMs) - 1 }), {
      atMs: sinceMs,
      level: burst,
    });
  return fill(last.level, nowMs - last.atMs);
};
