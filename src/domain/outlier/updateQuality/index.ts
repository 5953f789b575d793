import type { ServerQuality } from '../types';

/** What was seen of a server. */
export type QualityObservation =
  | { readonly kind: 'attempt'; readonly failed: boolean }
  | { readonly kind: 'speed'; readonly ratio: number };

/** Weight of one attempt: three failures in a row pass `FAILURES_LIMIT`, one does not. */
const ATTEMPT_WEIGHT = 0.25;

/** Weight of one measure of speed: about four reports, 2 s, to pass half of the way. */
const SPEED_WEIGHT = 0.2;

/** Updates the quality of a server by one more sign. */
export function updateQuality(quality: ServerQuality, sign: QualityObservation): ServerQuality {
  if (sign.kind === 'speed') {
    return { ...quality, speed: quality.speed + SPEED_WEIGHT * (sign.ratio - quality.speed) };
  }
  const failures = quality.failures + ATTEMPT_WEIGHT * ((sign.failed ? 1 : 0) - quality.failures);
  return { ...quality, failures, ejections: sign.failed ? quality.ejections : 0 };
}
