import type { Clock } from '../../ports';
import type { RetryMeter, RetryUse } from '../types';

/** Bounds of the retries of all VMs together. */
export interface RetryBudgetBounds {
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  readonly retryExtra: number;
}

/** Dependencies of a retry budget. */
export interface RetryBudgetDependencies {
  readonly bounds: RetryBudgetBounds;
  readonly clock: Clock;
  /** Number of VMs that share the bounds. */
  readonly countVms: () => number;
  readonly meter: RetryMeter;
}

/** Limits the retries of requests. */
export interface RetryBudget {
  recordRequest(service: string): void;
  /**
   * Takes one retry if the budget allows it.
   *
   * @param options.share - fraction of the budget that may be used, 0 to 1; 1 by default
   * @param options.minimum - number of retries that may be used whatever the share, within the
   * budget
   */
  acquireRetry(
    service: string,
    options?: { readonly share?: number; readonly minimum?: number },
  ): boolean;
  /** Returns a retry that did not reach a server. */
  releaseRetry(service: string): void;
  /** Lists what this VM has used in the present window, and what it may use, by service. */
  listUse(): ReadonlyMap<string, RetryUse>;
}

/** Number of buckets in the sliding window. */
const WINDOW_BUCKETS = 10;

/**
 * Fraction of the bounds that is used. VMs know of each other with a delay, and a request counted
 * here at the end of a window may arrive in the next one.
 */
const USED_FRACTION = 0.9;

/** Requests and retries of one service, by bucket of the window. */
interface BucketCounts {
  readonly requests: number[];
  readonly retries: number[];
}

const sum = (values: readonly number[]): number => values.reduce((total, one) => total + one, 0);

/** Creates the retry budget of this VM: its share of the bounds of all VMs, in a sliding window. */
export const createRetryBudget = ({
  bounds,
  clock,
  countVms,
  meter,
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

  const readUse = (service: string): RetryUse => {
    advanceWindow();
    const { requests, retries } = findOrCreateCounts(service);
    const vms = Math.max(1, countVms());
    const allowed = USED_FRACTION * (bounds.retryRatio * sum(requests) + bounds.retryExtra / vms);
    return { allowed, requests: sum(requests), retries: sum(retries), vms };
  };

  return {
    listUse: () =>
      new Map([...countsByService.keys()].map((service) => [service, readUse(service)])),
    recordRequest: (service) => {
      const index = advanceWindow();
      const { requests } = findOrCreateCounts(service);
      requests[index] = (requests[index] ?? 0) + 1;
    },
    releaseRetry: (service) => {
      const index = advanceWindow();
      const { retries } = findOrCreateCounts(service);
      // The oldest count goes: those that stay must not leave the window before what they count.
      const oldestFirst = retries.map((_, age) => (index + 1 + age) % WINDOW_BUCKETS);
      const found = oldestFirst.find((bucket) => (retries[bucket] ?? 0) > 0);
      if (found === undefined) return;
      retries[found] = (retries[found] ?? 0) - 1;
      meter.recordRetry(service, 'released');
    },
    acquireRetry: (service, { minimum = 0, share = 1 } = {}) => {
      const index = advanceWindow();
      const { retries } = findOrCreateCounts(service);
      const use = readUse(service);
      const usable = Math.max(use.allowed * share, Math.min(use.allowed, minimum));
      if (use.retries + 1 > usable) return false;
      retries[index] = (retries[index] ?? 0) + 1;
      meter.recordRetry(service, 'acquired');
      return true;
    },
  };
};
