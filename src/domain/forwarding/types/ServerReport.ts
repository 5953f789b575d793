import type { ServerSignals } from './ServerSignals';

/** State that a server reports; some hundred milliseconds old. */
export interface ServerReport extends ServerSignals {
  /** Requests that have not started. */
  readonly waiting: number;
  readonly running: number;
  /** KV memory in use that can't be evicted, in tokens; 0 if unknown. */
  readonly kvUsedTokens: number;
  /** Size of the KV memory in tokens; 0 if unknown. */
  readonly kvTotalTokens: number;
  /** Events sent so far, by id of the running request; null if unknown. */
  readonly eventsByRun: ReadonlyMap<string, number> | null;
  /** Start time in Unix milliseconds; null if unknown. */
  readonly bornMs: number | null;
}
