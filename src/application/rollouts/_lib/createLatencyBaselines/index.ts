/** Usual times of answers, by route of a service. */
export interface LatencyBaselines {
  /** Takes the time of an answer, in any unit that is the same for all requests of the route. */
  record(service: string, route: string, took: number): void;
  /** True: an answer took far longer than usual. */
  isSlow(service: string, route: string, took: number): boolean;
}

/** Answers before any is called slow. */
const MIN_SAMPLES = 3;

const SLOW_FACTOR = 2.5;

/** Part by which a newer sample moves the usual time. */
const SMOOTHING = 0.1;

/** A usual time, as the mean of its logarithm. */
interface Usual {
  readonly samples: number;
  readonly log: number;
}

/** Creates usual times; none is known. */
export const createLatencyBaselines = (): LatencyBaselines => {
  const usualOf = new Map<string, Usual>();
  const buildKey = (service: string, route: string): string => `${service} ${route}`;
  return {
    record: (service, route, took) => {
      const log = Math.log(took);
      const key = buildKey(service, route);
      const { log: before, samples } = usualOf.get(key) ?? { samples: 0, log };
      const weight = Math.max(SMOOTHING, 1 / (samples + 1));
      usualOf.set(key, { samples: samples + 1, log: before + (log - before) * weight });
    },
    isSlow: (service, route, took) => {
      const usual = usualOf.get(buildKey(service, route));
      if (!usual || usual.samples < MIN_SAMPLES) return false;
      return Math.log(took) > usual.log + Math.log(SLOW_FACTOR);
    },
  };
};
