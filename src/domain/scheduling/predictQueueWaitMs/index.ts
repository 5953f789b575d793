import { MIN_SHARE } from '../isShareOwed';

/** What a demand waits for. */
export interface QueueWaitOptions {
  /** Waiting demands that are served before it. */
  readonly ahead: number;
  /** Those of them that are of its own class. */
  readonly aheadInClass: number;
  /** Rate at which servers become able to begin a stream. */
  readonly startsPerS: number;
  /** Rate at which demands arrive that will be served before it. */
  readonly overtakingPerS: number;
  /** True if more urgent classes do not fit, so that the class gets its share; see `isShareOwed`. */
  readonly hasShare: boolean;
}

const MS_PER_S = 1000;

/**
 * Predicts how long a demand waits until a server can begin it.
 *
 * @returns milliseconds; infinite if the demands that overtake it take every start
 *
 * @example
 * predictQueueWaitMs(
 *   { ahead: 9, aheadInClass: 9, startsPerS: 20, overtakingPerS: 10, hasShare: false },
 * ); // 1000
 */
export const predictQueueWaitMs = ({
  ahead,
  aheadInClass,
  hasShare,
  overtakingPerS,
  startsPerS,
}: QueueWaitOptions): number => {
  const computeWaitMs = (demands: number, perS: number): number =>
    perS > 0 ? (demands * MS_PER_S) / perS : Infinity;
  const sharePerS = hasShare ? (startsPerS * MIN_SHARE) / (1 + MIN_SHARE) : 0;
  return Math.min(
    computeWaitMs(ahead + 1, startsPerS - overtakingPerS),
    computeWaitMs(aheadInClass + 1, sharePerS),
  );
};
