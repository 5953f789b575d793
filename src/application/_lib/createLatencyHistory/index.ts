import {
  computeInitialGapStatistics,
  NO_GAPS,
  updateGapStatistics,
  type FirstTokenSample,
  type GapStatistics,
} from '../../../domain/detection';
import type { EnginePaces } from '../../../domain/forwarding';
import { updateMovingAverage, updateUndisturbedEstimate } from '../../../domain/load';

/** How fast the engines of each service answered lately, as this VM saw it. */
export interface LatencyHistory {
  recordFirstToken(service: string, sample: FirstTokenSample): void;
  /** The same for a prompt that found a server with nothing else to read: it shows the pace. */
  recordPrefill(service: string, sample: FirstTokenSample): void;
  /** A stream took this long from its first event to its end. */
  recordRunDuration(service: string, runMs: number): void;
  /** Paces of the engines when nothing disturbs them; 0 while none was seen. */
  readEnginePaces(service: string): EnginePaces;
  /** Newest first-token times. */
  listFirstTokens(service: string): readonly FirstTokenSample[];
  recordGap(service: string, gapMs: number): void;
  /** Figures with which a stream begins that has no gap of its own yet. */
  readInitialGaps(service: string): GapStatistics;
}

const NO_PACES: EnginePaces = { prefillMsPerToken: 0, runMs: 0 };

/** A new run's weight in the mean: a burst shows within some ten of them. */
const RUN_WEIGHT = 0.1;

/** Enough to hold a busy minute's extremes, few enough to forget an old load soon. */
const KEPT_SAMPLES = 32;

/**
 * Creates an empty history.
 *
 * @returns History.
 */
export const createLatencyHistory = (): LatencyHistory => {
  const samples = new Map<string, FirstTokenSample[]>();
  const gaps = new Map<string, GapStatistics>();
  const paces = new Map<string, EnginePaces>();
  const readPaces = (service: string): EnginePaces => paces.get(service) ?? NO_PACES;
  return {
    recordFirstToken: (service, sample) => {
      const kept = samples.get(service) ?? [];
      kept.push(sample);
      if (kept.length > KEPT_SAMPLES) kept.shift();
      samples.set(service, kept);
    },
    recordPrefill: (service, sample) => {
      const before = readPaces(service);
      const perToken = sample.firstTokenMs / Math.max(1, sample.promptCharacters);
      const prefillMsPerToken = updateUndisturbedEstimate(before.prefillMsPerToken, perToken);
      paces.set(service, { ...before, prefillMsPerToken: prefillMsPerToken });
    },
    recordRunDuration: (service, runMs) => {
      const before = readPaces(service);
      paces.set(service, {
        ...before,
        runMs: updateMovingAverage(before.runMs, runMs, RUN_WEIGHT),
      });
    },
    readEnginePaces: readPaces,
    listFirstTokens: (service) => samples.get(service) ?? [],
    recordGap: (service, gapMs) => {
      gaps.set(service, updateGapStatistics(gaps.get(service) ?? NO_GAPS, gapMs));
    },
    readInitialGaps: (service) => computeInitialGapStatistics(gaps.get(service) ?? NO_GAPS),
  };
};
