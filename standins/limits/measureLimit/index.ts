import type { LimitArrival } from '../types';

/** A server's use of its limit, measured over sliding windows. */
export interface LimitMeasure {
  /** Most requests in any window. */
  readonly maxRequests: number;
  /** Most requests in any window, as a fraction of what the limit allows. */
  readonly maxFraction: number;
  /** All requests, as a fraction of what the limit allows. */
  readonly usedFraction: number;
}

const MS_PER_S = 1000;

/** Measures the arrivals from `fromMs` until `untilMs`. */
export const measureLimit = (
  arrivals: readonly LimitArrival[],
  options: {
    readonly limitPerS: number;
    readonly fromMs: number;
    readonly untilMs: number;
    readonly windowMs: number;
  },
): LimitMeasure => {
  const { fromMs, limitPerS, untilMs, windowMs } = options;
  const times = arrivals.map(({ atMs }) => atMs).filter((atMs) => atMs >= fromMs && atMs < untilMs);
  const counts = times.map(
    (endMs) => times.filter((atMs) => atMs > endMs - windowMs && atMs <= endMs).length,
  );
  const maxRequests = Math.max(0, ...counts);
  const allowedRequests = (limitPerS * windowMs) / MS_PER_S;
  return {
    maxRequests,
    maxFraction: maxRequests / allowedRequests,
    usedFraction: times.length / ((limitPerS * (untilMs - fromMs)) / MS_PER_S),
  };
};
