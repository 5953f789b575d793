import type { PaceEstimate } from '../types';

/** Samples with which a server's own estimate weighs as much as that of its service. */
const SERVICE_SAMPLES = 4;

/**
 * Merges a server's own estimate with that of its service, which counts less with every sample.
 *
 * @param own - estimate from the server's samples
 * @param usual - value of the service; 0 while unknown
 * @returns the merged value; 0 while nothing is known
 *
 * @example
 * mergePaceEstimates({ value: 10, samples: 4 }, 20); // 15
 */
export const mergePaceEstimates = (own: PaceEstimate, usual: number): number => {
  if (usual === 0 || own.samples === 0) return own.value || usual;
  const weight = own.samples / (own.samples + SERVICE_SAMPLES);
  return usual + weight * (own.value - usual);
};
