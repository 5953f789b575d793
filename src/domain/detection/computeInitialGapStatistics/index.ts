import { MIN_GAPS } from '../computeSilenceLimits';
import type { GapStatistics } from '../types';
import { NO_GAPS } from '../updateGapStatistics';

/** Gaps of a service from which its statistics are used for new streams. */
const MIN_TYPICAL_GAPS = 32;

/** Factor on the deviation, since engine or prompt may make a stream slower than earlier ones. */
const DEVIATION_FACTOR = 2;

/**
 * Computes the initial gap statistics of a stream from those of the service's other streams.
 *
 * Without them, a stream that stalls before it has enough gaps of its own would be suspected only
 * after the longest limit.
 *
 * @param typical - statistics over the service's latest gaps at this VM
 * @returns initial statistics; `NO_GAPS` if there are too few gaps of the service
 */
export const computeInitialGapStatistics = (typical: GapStatistics): GapStatistics =>
  typical.count < MIN_TYPICAL_GAPS
    ? NO_GAPS
    : {
        count: MIN_GAPS,
        meanMs: typical.meanMs,
        deviationMs: typical.deviationMs * DEVIATION_FACTOR,
      };
