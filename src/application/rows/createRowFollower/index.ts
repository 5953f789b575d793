import type { Clock, EventLog, Randomness, RowChanges, RowSource, SharedRow } from '../../ports';
import { hasMissedRows } from '../../../domain/forwarding';
import { waitDelay } from '../../time';
import { createCallRecord, type StoreCall } from '../_lib/createCallRecord';

/** What a follower needs. */
export interface RowFollowerDependencies {
  readonly table: string;
  readonly store: RowSource;
  /** How long the next call waits for changes. */
  readonly readWaitMs: () => number;
  /** How long the next call is put off after changes, which come in bursts. */
  readonly burstPauseMs: number;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
  /** Takes rows that changed, in the order of their versions. */
  readonly handleRows: (rows: readonly SharedRow[], info: RowsInfo) => void;
  /** Takes each answer of the store: it also tells of changes in other tables. */
  readonly handleAnswer?: (answer: RowChanges) => void;
  /** Called when an outage begins here. */
  readonly handleLost?: () => void;
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
  /** Takes the store's answer for another table: gives a call up that should have been answered. */
  checkAnswer(answer: RowChanges): void;
  /** Gives up the call that waits, as if it had failed. */
  dropCall(reason: string): void;
  /** How long ago the newest call that was answered had been sent, in milliseconds; infinite before. */
  readAgeMs(): number;
}

const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 500;

/**
 * A waiting call that another table's answer has overtaken is given up after this time: answers of
 * one moment arrive within some ms of each other, also at a VM with much to do.
 */
const OVERTAKEN_MS = 300;

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
  const { burstPauseMs, clock, handleRows, log, randomness, readWaitMs, store, table } =
    dependencies;
  const rows = new Map<string, SharedRow>();
  const abort = new AbortController();
  let version = 0;
  /** Changes up to this version may be missing among the removed rows that are remembered. */
  let forgottenVersion = 0;
  /** The call that waits, and why it is given up, if it is. */
  let waiting: StoreCall | null = null;
  let dropReason: string | null = null;
  const calls = createCallRecord({
    table,
    clock,
    log,
    handleLost: () => dependencies.handleLost?.(),
  });

  const dropOldRemovals = (): void => {
    const removed = [...rows.values()].filter(({ value }) => value === null);
    removed.slice(0, Math.max(0, removed.length - MAX_REMOVED_ROWS)).forEach((row) => {
      rows.delete(row.key);
      forgottenVersion = Math.max(forgottenVersion, row.version);
    });
  };

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
    handleRows(news, { source, outageEndedAtMs: calls.readOutageEndedAtMs() });
  };

  const readAll = async (): Promise<boolean> => {
    const call = calls.startCall('read', 0);
    const all = await store.readRows(table);
    if (all.isErr()) {
      calls.recordFailure(call, all.error, version);
      return false;
    }
    calls.recordSuccess(call);
    // From the newest row on, as a read gives them by key.
    const sorted = [...all.value.rows].sort((left, right) => left.version - right.version);
    mergeRows([...listRemoved(rows, all.value), ...sorted], 'store');
    forgottenVersion = Math.max(forgottenVersion, version);
    version = Math.max(version, all.value.version);
    dependencies.handleAnswer?.(all.value);
    return true;
  };

  /** Returns whether all rows must be read anew. */
  const followOnce = async (): Promise<boolean> => {
    // After a failure a call that waits could not tell the end of an outage from its going on.
    const waitMs = calls.countFailures() > 0 ? 0 : readWaitMs();
    const call = calls.startCall('feed', waitMs);
    const signal = AbortSignal.any([abort.signal, call.abort.signal]);
    waiting = call;
    dropReason = null;
    const answered = await store.followRows(table, { version, waitMs }, signal);
    waiting = null;
    if (abort.signal.aborted) return false;
    const changes = answered.mapErr((error) =>
      dropReason === null ? error : { kind: 'unavailable' as const, reason: dropReason },
    );
    if (changes.isErr()) {
      calls.recordFailure(call, changes.error, version);
      return changes.error.kind === 'history-lost';
    }
    calls.recordSuccess(call);
    mergeRows(changes.value.rows, 'store');
    version = Math.max(version, changes.value.version);
    dependencies.handleAnswer?.(changes.value);
    if (changes.value.rows.length > 0) await waitDelay(clock, burstPauseMs);
    return false;
  };

  const run = async (): Promise<void> => {
    let mustReadAll = true;
    while (!abort.signal.aborted) {
      mustReadAll = mustReadAll ? !(await readAll()) : await followOnce();
      const failures = calls.countFailures();
      if (failures > 0) {
        const boundMs = Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** (failures - 1));
        await waitDelay(clock, boundMs * (0.5 + randomness.readFraction() / 2));
      }
    }
  };

  const dropCall = (reason: string): void => {
    if (!waiting) return;
    dropReason = reason;
    waiting.abort.abort();
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
    isStoreReachable: () => !calls.isInOutage() && version > 0,
    checkAnswer: (answer) => {
      // Before the first whole read nothing is known of the rows that were there.
      if (version === 0) return;
      const otherRows = answer.rows.map((row) => row.version);
      const isBehind = (): boolean =>
        hasMissedRows({ held: version, newest: answer.version, otherRows });
      if (!isBehind()) {
        version = Math.max(version, answer.version);
        return;
      }
      const overtaken = waiting;
      clock.startTimer(OVERTAKEN_MS, () => {
        if (overtaken && overtaken === waiting && isBehind()) dropCall('overtaken');
      });
    },
    dropCall,
    readAgeMs: calls.readAgeMs,
  };
};
