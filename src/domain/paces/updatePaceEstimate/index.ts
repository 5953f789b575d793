import { updateUndisturbedEstimate } from '../../load';
import type { PaceEstimate } from '../types';

/**
 * Updates the estimate of a server's pace with a new sample.
 *
 * A sample that is no positive finite number says nothing and is ignored.
 */
export const updatePaceEstimate = (estimate: PaceEstimate, value: number): PaceEstimate =>
  Number.isFinite(value) && value > 0
    ? {
        value: updateUndisturbedEstimate(estimate.value, value),
        samples: estimate.samples + 1,
      }
    : estimate;
