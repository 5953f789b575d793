import type { ServerEntry } from './ServerEntry';

/** State of a server as known to this VM. */
export interface ServerStatus {
  readonly entry: ServerEntry;
  /** Requests of this VM on the server. */
  readonly running: number;
  /** Prompt tokens of these requests whose prefill has not finished, as far as this VM knows. */
  readonly pendingPrefillTokens: number;
  /** Runs of this VM whose KV cache is copied to the server. */
  readonly copies: number;
  /**
   * Requests last reported by the server, including those of other VMs; 0 if unknown or outdated.
   */
  readonly reported: number;
  /** Time since the server last reported its load, in milliseconds; infinite if it never did. */
  readonly reportedAgeMs: number;
  /** Time for which this VM has known the server without a suspicion, in milliseconds. */
  readonly availableMs: number;
  /** True if the server refused a request a moment ago, for want of room. */
  readonly isFull: boolean;
  /** True if the server failed recently or stopped answering. */
  readonly isSuspected: boolean;
}
