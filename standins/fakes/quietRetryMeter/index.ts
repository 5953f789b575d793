import type { RetryMeter } from '../../../src/application/forwarding';

/** A meter of retries that keeps nothing. */
export const NO_RETRY_METER: RetryMeter = { recordRetry: () => undefined };
