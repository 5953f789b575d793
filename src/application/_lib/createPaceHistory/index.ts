import {
  computeInitialGaps,
  NO_GAPS,
  updateGapStatistics,
  type FirstTokenSample,
  type GapStatistics,
} from '../../../domain/detection';

/** How fast the engines of each service answered lately, as this VM saw it. */
export interface PaceHistory {
  recordFirstToken(service: string, sample: FirstTokenSample): void;
  /** Newest first-token times. */
  listFirstTokens(service: string): readonly FirstTokenSample[];
  recordGap(service: string, gapMs: number): void;
  /** Figures with which a stream begins that has no gap of its own yet. */
  readInitialGaps(service: string): GapStatistics;
}

/** Enough to hold a busy minute's extremes, few enough to forget an old load soon. */
const KEPT_SAMPLES = 32;

/**
 * Creates an empty history.
 *
 * @returns History.
 */
export const createPaceHistory = (): PaceHistory => {
  const samples = new Map<string, FirstTokenSample[]>();
  const gaps = new Map<string, GapStatistics>();
  return {
    recordFirstToken: (service, sample) => {
      const kept = samples.get(service) ?? [];
      kept.push(sample);
      if (kept.length > KEPT_SAMPLES) kept.shift();
      samples.set(service, kept);
    },
    listFirstTokens: (service) => samples.get(service) ?? [],
    recordGap: (service, gapMs) => {
      gaps.set(service, updateGapStatistics(gaps.get(service) ?? NO_GAPS, gapMs));
    },
    readInitialGaps: (service) => computeInitialGaps(gaps.get(service) ?? NO_GAPS),
  };
};
