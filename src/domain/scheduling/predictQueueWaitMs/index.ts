import { MIN_SHARE } from '../isShareOwed';

/** What a demand waits for. */
export interface QueueWaitOptions {
  /** Waiting demands that are served before it. */
  readonly ahead: number;
  /** Rate at which servers become able to begin a stream. */
  readonly startsPerS: number;
  /** Rate at which demands arrive that will be served before it. */
  readonly overtakingPerS: number;
  /** True if other classes are more urgent: a share of the starts is left even if they overload. */
  readonly hasShare: boolean;
}

const MS_PER_S = 1000;

/**
 * Predicts how long a demand waits until a server can begin it.
 *
 * @returns milliseconds; infinite if the demands that overtake it take every start
 *
 * @example
 * predictQueueWaitMs({ ahead: 9, startsPerS: 20, overtakingPerS: 10, hasShare: false }); // 1000
 */
export const predictQueueWaitMs = ({
  ahead,
  hasShare,
  overtakingPerS,
  startsPerS,
}: QueueWaitOptions): number => {
  const shareFraction = hasShare ? MIN_SHARE / (1 + MIN_SHARE) : 0;
  const ratePerS = Math.max(startsPerS - overtakingPerS, startsPerS * shareFraction);
  return ratePerS > 0 ? ((ahead + 1) * MS_PER_S) / ratePerS : Infinity;
};
