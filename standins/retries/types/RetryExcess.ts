/** The window that exceeds its bound most, or comes closest to it. */
export interface RetryExcess {
  /** Start of the window in milliseconds. */
  readonly startMs: number;
  readonly repeats: number;
  readonly allowed: number;
  /** Number of windows over their bound, of those that were looked at. */
  readonly windowsOver: number;
}
