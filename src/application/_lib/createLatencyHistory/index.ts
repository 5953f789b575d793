import {
  computeInitialGapStatistics,
  NO_GAPS,
  updateGapStatistics,
  type FirstTokenSample,
  type GapStatistics,
} from '../../../domain/detection';
import type { EnginePaces } from '../../../domain/forwarding';
import { updateMovingAverage, updateUndisturbedEstimate } from '../../../domain/load';

/** Recent latencies of the engines of each service, as observed by this VM. */
export interface LatencyHistory {
  recordFirstToken(service: string, sample: FirstTokenSample): void;
  /** Records the same for a prompt on a server without other prefills, as a sample of its pace. */
  recordPrefill(service: string, sample: FirstTokenSample): void;
  /** Records the duration of a stream from its first event to its end. */
  recordRunDuration(service: string, runMs: number): void;
  /** Paces of the engines without interference from other work; 0 without samples. */
  readEnginePaces(service: string): EnginePaces;
  /** Most recent first-token times. */
  listFirstTokens(service: string): readonly FirstTokenSample[];
  recordGap(service: string, gapMs: number): void;
  /** Initial gap statistics for a stream without gaps of its own. */
  readInitialGaps(service: string): GapStatistics;
}

const UNKNOWN_PACES: EnginePaces = { prefillMsPerToken: 0, runMs: 0 };

/** Weight of a new run in the moving average: a burst shows within about ten runs. */
const RUN_DURATION_WEIGHT = 0.1;

/** Enough to keep the extremes of a busy minute, few enough to forget an earlier load soon. */
const MAX_SAMPLES = 32;

/**
 * Creates an empty history.
 *
 * @returns History.
 */
export const createLatencyHistory = (): LatencyHistory => {
  const samples = new Map<string, FirstTokenSample[]>();
  const gaps = new Map<string, GapStatistics>();
  const paces = new Map<string, EnginePaces>();
  const readPaces = (service: string): EnginePaces => paces.get(service) ?? UNKNOWN_PACES;
  return {
    recordFirstToken: (service, sample) => {
      const recent = samples.get(service) ?? [];
      recent.push(sample);
      if (recent.length > MAX_SAMPLES) recent.shift();
      samples.set(service, recent);
    },
    recordPrefill: (service, sample) => {
      const previous = readPaces(service);
      const perToken = sample.firstTokenMs / Math.max(1, sample.promptCharacters);
      const prefillMsPerToken = updateUndisturbedEstimate(previous.prefillMsPerToken, perToken);
      paces.set(service, { ...previous, prefillMsPerToken });
    },
    recordRunDuration: (service, runMs) => {
      const before = readPaces(service);
      paces.set(service, {
        ...before,
        runMs: updateMovingAverage(before.runMs, runMs, RUN_DURATION_WEIGHT),
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
