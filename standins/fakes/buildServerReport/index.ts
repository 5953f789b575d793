import type { ServerReport } from '../../../src/domain/forwarding';

/** Builds the report of an idle server with a free KV cache, with changes. */
export const buildServerReport = (change: Partial<ServerReport> = {}): ServerReport => ({
  waiting: 0,
  running: 0,
  kvUsedTokens: 0,
  kvTotalTokens: 88_000,
  eventsByRun: new Map(),
  isLeaving: false,
  limitPerS: null,
  maxRejectionsPerS: null,
  load: null,
  bornMs: null,
  ...change,
});
