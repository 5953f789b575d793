/** What a caller may send, and how long it may take. */
export interface ForwardingLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Longest time from a request's first byte to the end of its headers. */
  readonly headerTimeoutMs: number;
  /** Time after which an idle connection is closed. */
  readonly idleTimeoutMs: number;
}
