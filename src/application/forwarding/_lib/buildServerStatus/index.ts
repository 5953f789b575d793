import type { ServerStatus } from '../../../../domain/forwarding';
import type { ServerRecord } from '../buildServerRecord';

/** Maximum age of a reported load. */
const LOAD_AGE_MS = 1000;

/** Builds the view of a server that server selection works with. */
export const buildServerStatus = (record: ServerRecord, nowMs: number): ServerStatus => {
  const { load } = record;
  const isFresh = load !== null && nowMs - record.loadAtMs < LOAD_AGE_MS;
  return {
    entry: record.entry,
    running: record.running,
    pendingPrefillTokens: record.prefillTokens,
    copies: record.copies,
    reported: isFresh ? load.running + load.waiting : 0,
    reportedAgeMs: load === null ? Infinity : nowMs - record.loadAtMs,
    availableMs: Math.max(0, nowMs - Math.max(record.availableAtMs, record.pausedUntilMs)),
    isFull: record.fullUntilMs > nowMs,
    // As in a half-open circuit breaker, one request tests the server; others go elsewhere
    // meanwhile.
    isSuspected: record.suspectedUntilMs > nowMs || record.probeRequests > 0,
  };
};
