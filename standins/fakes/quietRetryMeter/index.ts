import type { Retry, RetryMeter } from '../../../src/application/forwarding';

/** A meter of retries that keeps nothing. */
export const NO_RETRY_METER: RetryMeter = { recordRetry: () => undefined };

/** A retry that no budget counts. */
export const UNCOUNTED_RETRY: Retry = { release: () => undefined, finish: () => undefined };
