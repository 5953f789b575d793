import type { GapStatistics } from '../types';

/** Weights of a new gap in mean and deviation, as for TCP's retransmission timer (RFC 6298). */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** Statistics of a stream without gaps. */
export const NO_GAPS: GapStatistics = { count: 0, meanMs: 0, deviationMs: 0 };

/**
 * Updates gap statistics with a new gap.
 *
 * @param statistics - previous statistics
 * @param gapMs - time between two batches, in milliseconds
 * @returns new statistics
 */
export const updateGapStatistics = (statistics: GapStatistics, gapMs: number): GapStatistics => {
  if (statistics.count === 0) return { count: 1, meanMs: gapMs, deviationMs: gapMs / 2 };
  const difference = gapMs - statistics.meanMs;
  return {
    count: statistics.count + 1,
    meanMs: statistics.meanMs + difference * MEAN_WEIGHT,
    deviationMs:
      statistics.deviationMs + (Math.abs(difference) - statistics.deviationMs) * DEVIATION_WEIGHT,
  };
};
