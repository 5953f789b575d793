/** Baseline latencies, by service and route. */
export interface LatencyBaselines {
  /** Adds the duration of an answer, in any unit that is the same for all requests of the route. */
  record(service: string, route: string, duration: number): void;
  /** True if an answer took more than `SLOW_FACTOR` times its baseline. */
  isSlow(service: string, route: string, duration: number): boolean;
}

/** Samples needed before an answer can count as slow. */
const MIN_BASELINE_SAMPLES = 3;

const SLOW_FACTOR = 2.5;

/** Weight of a new sample in the moving average; the first samples weigh more. */
const MIN_SAMPLE_WEIGHT = 0.1;

/** A baseline, as the mean of the logarithms of the durations. */
interface Baseline {
  readonly samples: number;
  readonly meanLog: number;
}

/** Creates latency baselines without samples. */
export const createLatencyBaselines = (): LatencyBaselines => {
  const baselinesByKey = new Map<string, Baseline>();
  const buildKey = (service: string, route: string): string => `${service} ${route}`;
  return {
    record: (service, route, duration) => {
      const logDuration = Math.log(duration);
      const key = buildKey(service, route);
      const { meanLog: before, samples } = baselinesByKey.get(key) ?? {
        samples: 0,
        meanLog: logDuration,
      };
      const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / (samples + 1));
      baselinesByKey.set(key, {
        samples: samples + 1,
        meanLog: before + (logDuration - before) * weight,
      });
    },
    isSlow: (service, route, duration) => {
      const baseline = baselinesByKey.get(buildKey(service, route));
      if (!baseline || baseline.samples < MIN_BASELINE_SAMPLES) return false;
      return Math.log(duration) > baseline.meanLog + Math.log(SLOW_FACTOR);
    },
  };
};
