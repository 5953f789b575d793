import type { FirstTokenSample } from '../../../../domain/detection';

/** Newest first-token times of each service. */
export interface FirstTokenHistory {
  record(service: string, sample: FirstTokenSample): void;
  list(service: string): readonly FirstTokenSample[];
}

/** Enough to hold a busy minute's extremes, few enough to forget an old load soon. */
const KEPT_SAMPLES = 32;

/**
 * Creates an empty history.
 *
 * @returns History.
 */
export const createFirstTokenHistory = (): FirstTokenHistory => {
  const samples = new Map<string, FirstTokenSample[]>();
  return {
    record: (service, sample) => {
      const kept = samples.get(service) ?? [];
      kept.push(sample);
      if (kept.length > KEPT_SAMPLES) kept.shift();
      samples.set(service, kept);
    },
    list: (service) => samples.get(service) ?? [],
  };
};
