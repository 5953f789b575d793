/** How waits between tries grow. */
export interface BackoffPolicy {
  /** Bound of the wait before the first retry, milliseconds. */
  readonly baseMs: number;
  /** Largest bound, milliseconds. */
  readonly maxMs: number;
}
