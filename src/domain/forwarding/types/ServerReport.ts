/** What a server says of itself; late by some hundred milliseconds. */
export interface ServerReport {
  /** Requests that have not begun to run. */
  readonly waiting: number;
  readonly running: number;
  /** Tokens of KV memory that can't yield, and of all of it; 0 if not told. */
  readonly kvUsedTokens: number;
  readonly kvTotalTokens: number;
  /** Ids of the requests that run; null if it does not tell. */
  readonly runIds: ReadonlySet<string> | null;
}
