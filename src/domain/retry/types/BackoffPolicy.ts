/** Growth of the delays between attempts. */
export interface BackoffPolicy {
  /** Upper bound of the delay before the first retry, in milliseconds. */
  readonly baseMs: number;
  /** Upper bound of all delays, in milliseconds. */
  readonly maxMs: number;
}
