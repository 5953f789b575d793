import type { ServerStatus } from '../../../../domain/forwarding';
import type { ServerRecord } from '../buildServerRecord';

/** Age up to which a reported load counts. */
const LOAD_AGE_MS = 1000;

/** Builds what choices see of a server. */
export const buildServerStatus = (record: ServerRecord, nowMs: number): ServerStatus => {
  const { load } = record;
  const isFresh = load !== null && nowMs - record.loadAtMs < LOAD_AGE_MS;
  return {
    entry: record.entry,
    running: record.running,
    pendingPrefillTokens: record.prefillTokens,
    copies: record.copies,
    reported: isFresh ? load.running + load.waiting : 0,
    // One request shows whether it is sound again: the others wait for that elsewhere.
    isSuspected: record.suspectedUntilMs > nowMs || record.probeRequests > 0,
  };
};
