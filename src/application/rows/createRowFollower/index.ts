import type {
  Clock,
  EventLog,
  Randomness,
  RowChanges,
  RowError,
  RowSource,
  SharedRow,
} from '../../ports';
import { waitDelay } from '../../time';

/** What a follower needs. */
export interface RowFollowerDependencies {
  readonly table: string;
  readonly store: RowSource;
  /** How long one call waits for changes. */
  readonly waitMs: number;
  /** How long the next call is put off after changes, which come in bursts. */
  readonly burstPauseMs: number;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
  /** Takes rows that changed, in the order of their versions. */
  readonly handleRows: (rows: readonly SharedRow[], info: RowsInfo) => void;
}

/** Where changes came from. */
export interface RowsInfo {
  readonly source: 'store' | 'peer';
  /** Monotonic time until which the store did not answer, or null if it always did. */
  readonly outageEndedAtMs: number | null;
}

/** Keeps up with a table. */
export interface RowFollower {
  start(): void;
  stop(): void;
  /** Version up to which no change is missing here; 0 before the first read. */
  readVersion(): number;
  /** Rows that changed after the version; null if that is not known any more. */
  listChanges(afterVersion: number): RowChanges | null;
  /** Takes changes that another VM knows of; `afterVersion` is the version that they follow. */
  mergeChanges(changes: RowChanges, afterVersion: number): void;
  isStoreReachable(): boolean;
  /** How long ago the newest call that was answered had been sent, in milliseconds; infinite before. */
  readAgeMs(): number;
}

/** A call to the store, as its outcome is told. */
interface StoreCall {
  readonly call: 'read' | 'feed';
  readonly sentAtMs: number;
  readonly waitMs: number;
}

const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 500;

/** Removed rows that are remembered, so that peers learn of them. */
const MAX_REMOVED_ROWS = 2000;

/** Tells removed rows from a whole read: those known here that it lacks. */
const listRemoved = (
  known: ReadonlyMap<string, SharedRow>,
  { rows, version }: RowChanges,
): SharedRow[] => {
  const present = new Set(rows.map(({ key }) => key));
  return [...known.values()]
    .filter((row) => row.value !== null && row.version <= version && !present.has(row.key))
    .map(({ key }) => ({ key, value: null, version }));
};

/**
 * Creates the follower of a table: it reads all rows once, then waits for changes. A row never
 * goes back to an older version, whichever source tells of it.
 */
export const createRowFollower = (dependencies: RowFollowerDependencies): RowFollower => {
  const { burstPauseMs, clock, handleRows, log, randomness, store, table, waitMs } = dependencies;
  const rows = new Map<string, SharedRow>();
  const abort = new AbortController();
  let version = 0;
  /** Changes up to this version may be missing among the removed rows that are remembered. */
  let forgottenVersion = 0;
  let failures = 0;
  let outageStartedAtMs: number | null = null;
  let outageEndedAtMs: number | null = null;
  let answeredCallSentAtMs = -Infinity;

  const dropOldRemovals = (): void => {
    const removed = [...rows.values()].filter(({ value }) => value === null);
    removed.slice(0, Math.max(0, removed.length - MAX_REMOVED_ROWS)).forEach((row) => {
      rows.delete(row.key);
      forgottenVersion = Math.max(forgottenVersion, row.version);
    });
  };

  const startCall = (call: StoreCall['call'], callWaitMs: number): StoreCall => ({
    call,
    sentAtMs: clock.readMonotonicMs(),
    waitMs: callWaitMs,
  });

  const readTookMs = ({ sentAtMs }: StoreCall): number =>
    Math.round(clock.readMonotonicMs() - sentAtMs);

  const mergeRows = (changes: readonly SharedRow[], source: RowsInfo['source']): void => {
    const news = changes.filter((row) => row.version > (rows.get(row.key)?.version ?? 0));
    news.forEach((row) => {
      // Set anew, so that the map stays in the order of changes.
      rows.delete(row.key);
      rows.set(row.key, row);
    });
    if (news.length === 0) return;
    log.info('rows taken', { table, source, rows: news.length, version });
    dropOldRemovals();
    handleRows(news, { source, outageEndedAtMs });
  };

  const recordSuccess = (call: StoreCall): void => {
    failures = 0;
    answeredCallSentAtMs = Math.max(answeredCallSentAtMs, call.sentAtMs);
    if (outageStartedAtMs === null) return;
    const lastedMs = Math.round(clock.readMonotonicMs() - outageStartedAtMs);
    outageStartedAtMs = null;
    outageEndedAtMs = clock.readMonotonicMs();
    log.info('store regained', { table, lastedMs, call: call.call, tookMs: readTookMs(call) });
  };

  const recordFailure = (call: StoreCall, error: RowError): void => {
    if (error.kind === 'history-lost') {
      log.warn('history lost, all rows are read anew', { table, version });
      return;
    }
    failures += 1;
    log.warn('store call failed', {
      table,
      call: call.call,
      waitMs: call.waitMs,
      tookMs: readTookMs(call),
      reason: error.reason,
      failures,
      version,
    });
    if (outageStartedAtMs !== null) return;
    outageStartedAtMs = clock.readMonotonicMs();
    log.warn('store lost', { table, reason: error.reason, version });
  };

  const readAll = async (): Promise<boolean> => {
    const call = startCall('read', 0);
    const all = await store.readRows(table);
    if (all.isErr()) {
      recordFailure(call, all.error);
      return false;
    }
    recordSuccess(call);
    // From the newest row on, as a read gives them by key.
    const sorted = [...all.value.rows].sort((left, right) => left.version - right.version);
    mergeRows([...listRemoved(rows, all.value), ...sorted], 'store');
    forgottenVersion = Math.max(forgottenVersion, version);
    version = Math.max(version, all.value.version);
    return true;
  };

  /** Returns whether all rows must be read anew. */
  const followOnce = async (): Promise<boolean> => {
    const options = { version, waitMs };
    const call = startCall('feed', waitMs);
    const changes = await store.followRows(table, options, abort.signal);
    if (abort.signal.aborted) return false;
    if (changes.isErr()) {
      recordFailure(call, changes.error);
      return changes.error.kind === 'history-lost';
    }
    recordSuccess(call);
    mergeRows(changes.value.rows, 'store');
    version = Math.max(version, changes.value.version);
    if (changes.value.rows.length > 0) await waitDelay(clock, burstPauseMs);
    return false;
  };

  const run = async (): Promise<void> => {
    let mustReadAll = true;
    while (!abort.signal.aborted) {
      mustReadAll = mustReadAll ? !(await readAll()) : await followOnce();
      if (failures > 0) {
        const boundMs = Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** (failures - 1));
        await waitDelay(clock, boundMs * (0.5 + randomness.readFraction() / 2));
      }
    }
  };

  return {
    start: () => {
      run().catch((error: unknown) => {
        const reason = error instanceof Error ? error.message : 'unknown';
        log.error('following stopped unexpectedly', { table, reason });
      });
    },
    stop: () => abort.abort(),
    readVersion: () => version,
    listChanges: (afterVersion) => {
      if (afterVersion > 0 && afterVersion < forgottenVersion) return null;
      const changed = [...rows.values()].filter((row) => row.version > afterVersion);
      changed.sort((left, right) => left.version - right.version);
      return { rows: changed, version };
    },
    mergeChanges: (changes, afterVersion) => {
      mergeRows(changes.rows, 'peer');
      // Only news that begin where this VM stands leave no gap.
      if (afterVersion <= version) version = Math.max(version, changes.version);
    },
    isStoreReachable: () => outageStartedAtMs === null && version > 0,
    readAgeMs: () => clock.readMonotonicMs() - answeredCallSentAtMs,
  };
};
