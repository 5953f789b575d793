/** What happened to a retry of the shared budget. */
export type RetryEvent = 'acquired' | 'released' | 'lent' | 'borrowed' | 'refused';

/** Records what happens to the retries of the shared budget. */
export interface RetryMeter {
  recordRetry(service: string, event: RetryEvent): void;
}
