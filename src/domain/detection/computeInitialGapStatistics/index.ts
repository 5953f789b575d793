import { MIN_GAPS } from '../computeSilenceLimits';
import type { GapStatistics } from '../types';
import { NO_GAPS } from '../updateGapStatistics';

/** Gaps of a service that must be known before a new stream begins with its figures. */
const MIN_TYPICAL_GAPS = 32;

/** Room for a stream that is slower than those before it: its engine or prompt may differ. */
const DEVIATION_FACTOR = 2;

/**
 * Computes the figures with which a stream begins, from the gaps of the service's other streams.
 *
 * A stream that froze before it had enough gaps of its own would otherwise stand still for the
 * longest limit there is, although everything is known of its engine's pace.
 *
 * @param typical - Figures over the service's newest gaps at this VM.
 * @returns Figures of a stream without gaps; `NO_GAPS` if too little is known of the service.
 */
export const computeInitialGapStatistics = (typical: GapStatistics): GapStatistics =>
  typical.count < MIN_TYPICAL_GAPS
    ? NO_GAPS
    : {
        count: MIN_GAPS,
        meanMs: typical.meanMs,
        deviationMs: typical.deviationMs * DEVIATION_FACTOR,
      };
