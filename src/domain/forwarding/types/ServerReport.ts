import type { ServerSignals } from './ServerSignals';

/** What a server says of itself; late by some hundred milliseconds. */
export interface ServerReport extends ServerSignals {
  /** Requests that have not begun to run. */
  readonly waiting: number;
  readonly running: number;
  /** Tokens of KV memory that can't yield, and of all of it; 0 if not told. */
  readonly kvUsedTokens: number;
  readonly kvTotalTokens: number;
  /** Events made so far, by the id of each request that runs; null if it does not tell. */
  readonly eventsByRun: ReadonlyMap<string, number> | null;
  /** When it started, in Unix milliseconds; null if it does not tell. */
  readonly bornMs: number | null;
}
