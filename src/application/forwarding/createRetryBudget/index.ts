import { sum } from 'simple-statistics';
import { isRetryAllowed, WINDOW_BUCKETS, type RetryHistory } from '../../../domain/retry';
import type { Clock } from '../../ports';
import { createSuspensionWatch } from '../../time';
import type { Retry, RetryMeter, RetryUse } from '../types';

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
  /** Counts the fixed retries of each window that this VM may use now. */
  readonly countFixed: () => number;
  readonly meter: RetryMeter;
}

/** Options of the taking of a retry. */
export interface RetryOptions {
  /** Fraction of the budget that may be used, 0 to 1; 1 by default. */
  readonly share?: number;
  /** Number of retries that may be used whatever the share, within the budget. */
  readonly minimum?: number;
}

/** Limits the retries of requests. */
export interface RetryBudget {
  /** @param sentSinceMs - earliest time at which the caller can have sent it, in monotonic ms */
  recordRequest(service: string, sentSinceMs: number): void;
  /**
   * Takes one retry; null if the budget does not allow it. It counts until a window after it was
   * finished: an attempt may wait behind a silent server or link and arrive with later ones.
   */
  acquireRetry(service: string, options?: RetryOptions): Retry | null;
  /** Lists what this VM has used in the present window, and what it may use, by service. */
  listUse(): ReadonlyMap<string, RetryUse>;
}

/** Buckets for which counts are kept: one window and a half, and the parts at both ends. */
const KEPT_BUCKETS = 1.5 * WINDOW_BUCKETS + 2;

/** Requests and retries of one service, by bucket. */
interface BucketCounts {
  /** By the earliest time at which callers can have sent them. */
  readonly sentRequests: number[];
  /** By when they were counted. */
  readonly countedRequests: number[];
  readonly retries: number[];
  /** Retries that are neither finished nor released. */
  open: number;
}

/** Creates the retry budget of this VM: its share of the bounds of all VMs, in a sliding window. */
export const createRetryBudget = ({
  bounds,
  clock,
  countFixed,
  meter,
}: RetryBudgetDependencies): RetryBudget => {
  const bucketMs = bounds.retryWindowMs / WINDOW_BUCKETS;
  const countsByService = new Map<string, BucketCounts>();
  const readBucket = (): number => Math.floor(clock.readMonotonicMs() / bucketMs);
  let newestBucket = readBucket();
  const suspensions = createSuspensionWatch(clock);
  let suspendedBeforeMs = -Infinity;

  /** Requests before a suspension are older than the monotonic clock says. */
  const dropRequestsBeforeSuspension = (): void => {
    const readMs = suspensions.readSuspendedBeforeMs();
    if (readMs === suspendedBeforeMs) return;
    suspendedBeforeMs = readMs;
    countsByService.forEach(({ countedRequests, sentRequests }) => {
      sentRequests.fill(0);
      countedRequests.fill(0);
    });
  };

  const advanceWindow = (): number => {
    dropRequestsBeforeSuspension();
    const currentBucket = readBucket();
    const passedBuckets = Math.min(KEPT_BUCKETS, currentBucket - newestBucket);
    for (let index = 1; index <= passedBuckets; index += 1) {
      const clearedIndex = (currentBucket - passedBuckets + index) % KEPT_BUCKETS;
      countsByService.forEach(({ countedRequests, retries, sentRequests }) =>
        [sentRequests, countedRequests, retries].forEach((buckets) =>
          buckets.fill(0, clearedIndex, clearedIndex + 1),
        ),
      );
    }
    newestBucket = currentBucket;
    return currentBucket % KEPT_BUCKETS;
  };

  const findOrCreateCounts = (service: string): BucketCounts => {
    const known = countsByService.get(service);
    if (known) return known;
    const counts = {
      sentRequests: new Array<number>(KEPT_BUCKETS).fill(0),
      countedRequests: new Array<number>(KEPT_BUCKETS).fill(0),
      retries: new Array<number>(KEPT_BUCKETS).fill(0),
      open: 0,
    };
    countsByService.set(service, counts);
    return counts;
  };

  /** Lists counts from the present bucket back. */
  const listNewestFirst = (counts: readonly number[], index: number): readonly number[] =>
    counts.map((_, age) => counts[(index + KEPT_BUCKETS - age) % KEPT_BUCKETS] ?? 0);

  const readHistory = (service: string): RetryHistory => {
    const index = advanceWindow();
    const { countedRequests, open, retries, sentRequests } = findOrCreateCounts(service);
    return {
      sentRequests: listNewestFirst(sentRequests, index),
      countedRequests: listNewestFirst(countedRequests, index),
      retries: listNewestFirst(retries, index).slice(0, WINDOW_BUCKETS + 1),
      open,
    };
  };

  const readUse = (service: string): RetryUse => {
    const history = readHistory(service);
    const requests = sum(history.sentRequests.slice(0, WINDOW_BUCKETS));
    return {
      allowed: bounds.retryRatio * requests + countFixed(),
      requests,
      retries: sum(history.retries) + history.open,
      open: history.open,
      fixed: countFixed(),
    };
  };

  const openRetry = (service: string): Retry => {
    const counts = findOrCreateCounts(service);
    let isOpen = true;
    const close = (): boolean => {
      const wasOpen = isOpen;
      if (wasOpen) counts.open -= 1;
      isOpen = false;
      return wasOpen;
    };
    counts.open += 1;
    return {
      release: () => {
        if (close()) meter.recordRetry(service, 'released');
      },
      finish: () => {
        if (!close()) return;
        const index = advanceWindow();
        counts.retries[index] = (counts.retries[index] ?? 0) + 1;
      },
    };
  };

  return {
    listUse: () =>
      new Map([...countsByService.keys()].map((service) => [service, readUse(service)])),
    recordRequest: (service, sentSinceMs) => {
      const index = advanceWindow();
      const age = newestBucket - Math.floor(sentSinceMs / bucketMs);
      // Such a request may have been sent before each window that counts.
      if (age >= KEPT_BUCKETS || sentSinceMs < suspendedBeforeMs) return;
      const { countedRequests, sentRequests } = findOrCreateCounts(service);
      const sentIndex = (index + KEPT_BUCKETS - age) % KEPT_BUCKETS;
      sentRequests[sentIndex] = (sentRequests[sentIndex] ?? 0) + 1;
      countedRequests[index] = (countedRequests[index] ?? 0) + 1;
    },
    acquireRetry: (service, options) => {
      const allowance = { ...options, ratio: bounds.retryRatio, extra: countFixed() };
      if (!isRetryAllowed(readHistory(service), allowance)) return null;
      meter.recordRetry(service, 'acquired');
      return openRetry(service);
    },
  };
};
