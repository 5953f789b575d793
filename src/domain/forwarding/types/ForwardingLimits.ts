/** Limits on the size and duration of callers' requests. */
export interface ForwardingLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Longest time from the first byte of a request to the end of its headers. */
  readonly headerTimeoutMs: number;
  /** Time after which an idle connection is closed. */
  readonly idleTimeoutMs: number;
}
