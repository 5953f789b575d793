import type { ServerReport } from '../../../src/domain/forwarding';

/** The report of a server without work, its KV memory free, with changes. */
export const buildServerReport = (change: Partial<ServerReport> = {}): ServerReport => ({
  waiting: 0,
  running: 0,
  kvUsedTokens: 0,
  kvTotalTokens: 88_000,
  eventsByRun: new Map(),
  isLeaving: false,
  limitPerS: null,
  bornMs: null,
  ...change,
});
