import type { ServerQuality } from '../types';

/** Outcome of an attempt, or a measured speed ratio. */
export type QualityObservation =
  | { readonly kind: 'attempt'; readonly failed: boolean }
  | { readonly kind: 'speed'; readonly ratio: number };

/** Weight of one attempt: three failures in a row exceed `MAX_FAILURE_RATE`, one does not. */
const ATTEMPT_WEIGHT = 0.25;

/** Weight of one speed ratio: after about four reports (2 s), half of a change has been adopted. */
const SPEED_WEIGHT = 0.2;

/** Updates the quality of a server with a new observation. */
export function updateQuality(
  quality: ServerQuality,
  observation: QualityObservation,
): ServerQuality {
  if (observation.kind === 'speed') {
    return {
      ...quality,
      speed: quality.speed + SPEED_WEIGHT * (observation.ratio - quality.speed),
    };
  }
  const failures =
    quality.failures + ATTEMPT_WEIGHT * ((observation.failed ? 1 : 0) - quality.failures);
  return { ...quality, failures, ejections: observation.failed ? quality.ejections : 0 };
}
