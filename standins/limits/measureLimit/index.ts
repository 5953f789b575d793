import type { LimitArrival } from '../types';

/** What a server got of its limit over sliding windows. */
export interface LimitMeasure {
  /** Most requests in one window. */
  readonly maxRequests: number;
  /** Most requests in one window, as part of what the limit allows. */
  readonly maxFraction: number;
  /** All requests, as part of what the limit allows. */
  readonly usedFraction: number;
}

const MS_PER_S = 1000;

/** Measures arrivals from one time to another, in windows that lie within. */
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
    maxRequests: maxRequests,
    maxFraction: maxRequests / allowedRequests,
    usedFraction: times.length / ((limitPerS * (untilMs - fromMs)) / MS_PER_S),
  };
};
