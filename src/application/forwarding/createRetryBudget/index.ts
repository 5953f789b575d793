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
    options?: { readonly share?: number; readonly minimum?: number },
  ): boolean;
  /** Gives one back that did not reach a server. */
  releaseRetry(service: string): void;
}

/** Steps in which a window slides. */
const WINDOW_BUCKETS = 10;

/**
 * Part of the bounds that is used: VMs know of one another with a delay, and a send that is counted
 * here at the end of a window may arrive in the next one.
 */
const USED_FRACTION = 0.9;

/** Requests and repeats of one service, by step of the window. */
interface BucketCounts {
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
  const bucketMs = bounds.retryWindowMs / WINDOW_BUCKETS;
  const countsByService = new Map<string, BucketCounts>();
  let newestBucket = Math.floor(clock.readMonotonicMs() / bucketMs);

  const advanceWindow = (): number => {
    const currentBucket = Math.floor(clock.readMonotonicMs() / bucketMs);
    const passedBuckets = Math.min(WINDOW_BUCKETS, currentBucket - newestBucket);
    for (let index = 1; index <= passedBuckets; index += 1) {
      const clearedIndex = (currentBucket - passedBuckets + index) % WINDOW_BUCKETS;
      countsByService.forEach(({ requests, retries }) => {
        requests.fill(0, clearedIndex, clearedIndex + 1);
        retries.fill(0, clearedIndex, clearedIndex + 1);
      });
    }
    newestBucket = currentBucket;
    return currentBucket % WINDOW_BUCKETS;
  };

  const findOrCreateCounts = (service: string): BucketCounts => {
    const known = countsByService.get(service);
    if (known) return known;
    const counts = {
      requests: new Array<number>(WINDOW_BUCKETS).fill(0),
      retries: new Array<number>(WINDOW_BUCKETS).fill(0),
    };
    countsByService.set(service, counts);
    return counts;
  };

  return {
    recordRequest: (service) => {
      const index = advanceWindow();
      const { requests } = findOrCreateCounts(service);
      requests[index] = (requests[index] ?? 0) + 1;
    },
    releaseRetry: (service) => {
      const index = advanceWindow();
      const { retries } = findOrCreateCounts(service);
      retries[index] = (retries[index] ?? 0) - 1;
    },
    acquireRetry: (service, { minimum = 0, share = 1 } = {}) => {
      const index = advanceWindow();
      const { requests, retries } = findOrCreateCounts(service);
      const extra = bounds.retryExtra / Math.max(1, countVms());
      const allowed = USED_FRACTION * (bounds.retryRatio * sum(requests) + extra);
      const usable = Math.max(allowed * share, Math.min(allowed, minimum));
      if (sum(retries) + 1 > usable) return false;
      retries[index] = (retries[index] ?? 0) + 1;
      return true;
    },
  };
};
