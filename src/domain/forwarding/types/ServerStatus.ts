import type { ServerEntry } from './ServerEntry';

/** What this VM believes of a server. */
export interface ServerStatus {
  readonly entry: ServerEntry;
  /** Requests that this VM has there. */
  readonly running: number;
  /** Tokens of their prompts that the server still reads, as far as this VM knows. */
  readonly pendingPrefillTokens: number;
  /** Runs of this VM whose KV memory is copied there. */
  readonly copies: number;
  /** Requests that the server last told of, those of other VMs among them; 0 if unknown or old. */
  readonly reported: number;
  /** True: it failed lately, or fell silent. */
  readonly isSuspected: boolean;
}
