/** Requests and retries of one service at one VM, in buckets of the window, the newest first. */
export interface RetryHistory {
  /** Buckets of one window and a half, by the earliest time at which callers can have sent them. */
  readonly sentRequests: readonly number[];
  /** The same requests, by when they were counted. */
  readonly countedRequests: readonly number[];
  /** Buckets of one window, and the present one. */
  readonly retries: readonly number[];
  /** Retries that have not arrived at a server yet, and still may. */
  readonly open: number;
}
