/** Source of time and timers, passed in so that tests control both. */
export interface Clock {
  /** Wall time, milliseconds since the epoch; may jump. */
  readWallMs(): number;
  /** Monotonic time in milliseconds; never goes back. */
  readMonotonicMs(): number;
  /** Time for which this process has waited for events since its start, in milliseconds. */
  readIdleMs(): number;
  /** Calls `callback` once after `delayMs`; the returned function cancels it. */
  startTimer(delayMs: number, callback: () => void): () => void;
}
