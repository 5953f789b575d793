/** What one service saw of requests and repeats; times in milliseconds. */
export interface RetryArrivals {
  /** When callers sent their requests, whether these arrived or not. */
  readonly requestsAtMs: readonly number[];
  /** When requests arrived at a server for the second time or later. */
  readonly repeatsAtMs: readonly number[];
}
