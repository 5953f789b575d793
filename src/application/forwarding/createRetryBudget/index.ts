import type { Clock } from '../../ports';

/** Bounds of the sends beyond the first of each request, over all VMs. */
export interface RetryBudgetBounds {
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  readonly retryExtra: number;
}

/** What an allowance needs. */
export interface RetryBudgetDependencies {
  readonly bounds: RetryBudgetBounds;
  readonly clock: Clock;
  /** VMs that share the bounds. */
  readonly countVms: () => number;
}

/** Says which sends beyond the first of each request may be made. */
export interface RetryBudget {
  recordRequest(service: string): void;
  /**
   * Takes one send beyond the first, if it is within the bounds.
   *
   * @param options.part - part of the allowance that may be used for it, 0 to 1; by default all
   * @param options.least - sends that may be used for it whatever the part, within the allowance
   */
  acquireRetry(
    service: string,
    options?: { readonly part?: number; readonly least?: number },
  ): boolean;
  /** Gives one back that did not reach a server. */
  releaseRetry(service: string): void;
}

/** Steps in which a window slides. */
const STEPS = 10;

/**
 * Part of the bounds that is used: VMs know of one another with a delay, and a send that is counted
 * here at the end of a window may arrive in the next one.
 */
const USED_PART = 0.9;

/** Requests and repeats of one service, by step of the window. */
interface Counts {
  readonly requests: number[];
  readonly retries: number[];
}

const sum = (values: readonly number[]): number => values.reduce((total, one) => total + one, 0);

/**
 * Creates the allowance of this VM: its part of the bounds that all VMs keep together, in a window
 * that slides.
 */
export const createRetryBudget = ({
  bounds,
  clock,
  countVms,
}: RetryBudgetDependencies): RetryBudget => {
  const stepMs = bounds.retryWindowMs / STEPS;
  const byService = new Map<string, Counts>();
  let step = Math.floor(clock.readMonotonicMs() / stepMs);

  const slide = (): number => {
    const now = Math.floor(clock.readMonotonicMs() / stepMs);
    const passed = Math.min(STEPS, now - step);
    for (let index = 1; index <= passed; index += 1) {
      const cleared = (now - passed + index) % STEPS;
      byService.forEach(({ requests, retries }) => {
        requests.fill(0, cleared, cleared + 1);
        retries.fill(0, cleared, cleared + 1);
      });
    }
    step = now;
    return now % STEPS;
  };

  const findCounts = (service: string): Counts => {
    const known = byService.get(service);
    if (known) return known;
    const counts = {
      requests: new Array<number>(STEPS).fill(0),
      retries: new Array<number>(STEPS).fill(0),
    };
    byService.set(service, counts);
    return counts;
  };

  return {
    recordRequest: (service) => {
      const index = slide();
      const { requests } = findCounts(service);
      requests[index] = (requests[index] ?? 0) + 1;
    },
    releaseRetry: (service) => {
      const index = slide();
      const { retries } = findCounts(service);
      retries[index] = (retries[index] ?? 0) - 1;
    },
    acquireRetry: (service, { least = 0, part = 1 } = {}) => {
      const index = slide();
      const { requests, retries } = findCounts(service);
      const extra = bounds.retryExtra / Math.max(1, countVms());
      const allowed = USED_PART * (bounds.retryRatio * sum(requests) + extra);
      const usable = Math.max(allowed * part, Math.min(allowed, least));
      if (sum(retries) + 1 > usable) return false;
      retries[index] = (retries[index] ?? 0) + 1;
      return true;
    },
  };
};
