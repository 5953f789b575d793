import { err, ok, type Result } from 'neverthrow';
import type { StoreClient } from '../../../platform';
import type { Clock, RowChanges, RowError, SharedRow } from '../../../src/application/ports';
import { computeRowVersion, parseRowVersion } from '../../../src/domain/rows';

/** A row of a table. */
export interface TableRow extends SharedRow {
  readonly table: string;
}

/** A store in virtual time whose calls can be dropped without an answer. */
export interface VirtualStore extends StoreClient {
  /** Writes a row, or removes it if `value` is null, without delay. */
  writeRow(table: string, key: string, value: object | null): void;
  /** While silent, new calls get no answer, and neither do those pending at the start. */
  setSilent(isSilent: boolean): void;
  /** Drops the calls pending on this table; new calls are answered. */
  dropPendingCalls(table: string): void;
  /** From now on, feeds that start at an older version than the present one get `history-lost`. */
  dropHistory(): void;
  /** Restores the store in a new era without the newest changes; returns these, in order. */
  restoreSnapshot(lostChanges: number): readonly TableRow[];
  /** Lists the versions of the rows that existed at a version, by key. */
  listRowsAt(table: string, version: number): ReadonlyMap<string, number>;
  /** Reads the newest version. */
  readVersion(): number;
  /** Counts all calls so far. */
  countCalls(): number;
}

/** An unanswered call times out this long after its answer was due. */
const CALL_TIMEOUT_MARGIN_MS = 600;

const ANSWER_MS = 4;

const STORE_CLOCK_AHEAD_MS = 5_000_000;

interface PendingCall {
  readonly table: string;
  wake: () => void;
  isLost: boolean;
}

/** Creates a store in virtual time. */
export const createVirtualStore = (clock: Clock): VirtualStore => {
  let changes: TableRow[] = [];
  /** Changes at the end of each past era. */
  const changesByEra = new Map<number, readonly TableRow[]>();
  let era = 1;
  let pendingCalls: PendingCall[] = [];
  let version = 0;
  let historyStart = 0;
  let isSilent = false;
  let calls = 0;

  const listRows = (table: string, after: number): SharedRow[] => {
    const newest = new Map<string, SharedRow>();
    changes
      .filter((row) => row.table === table && row.version > after)
      .forEach(({ key, value, version: at }) => newest.set(key, { key, value, version: at }));
    return [...newest.values()].sort((left, right) => left.version - right.version);
  };

  /** Builds an answer; the store's clock differs from that of its callers. */
  const answer = (rows: readonly SharedRow[]): Result<RowChanges, RowError> =>
    ok({ rows, version, storeMs: clock.readMonotonicMs() + STORE_CLOCK_AHEAD_MS });

  /** Answers after the store's latency; a dropped call times out. */
  const call = (
    table: string,
    waitMs: number,
    signal: AbortSignal | null,
    readChanges: (isDue: boolean) => Result<RowChanges, RowError> | null,
  ): Promise<Result<RowChanges, RowError>> =>
    new Promise((resolve) => {
      calls += 1;
      const cancels: (() => void)[] = [];
      const self: PendingCall = { table, isLost: isSilent, wake: () => undefined };
      const end = (result: Result<RowChanges, RowError>): void => {
        cancels.forEach((cancel) => cancel());
        pendingCalls = pendingCalls.filter((one) => one !== self);
        resolve(result);
      };
      const checkForChanges = (isDue: boolean): void => {
        const changesResult = self.isLost ? null : readChanges(isDue);
        if (changesResult) end(changesResult);
      };
      self.wake = () => cancels.push(clock.startTimer(ANSWER_MS, () => checkForChanges(false)));
      pendingCalls.push(self);
      self.wake();
      cancels.push(
        clock.startTimer(waitMs + ANSWER_MS, () => checkForChanges(true)),
        clock.startTimer(waitMs + CALL_TIMEOUT_MARGIN_MS, () =>
          end(err({ kind: 'unavailable', reason: 'no answer in time' })),
        ),
      );
      signal?.addEventListener('abort', () =>
        end(err({ kind: 'unavailable', reason: 'given up' })),
      );
    });

  const addChange = (table: string, key: string, value: Buffer | null): void => {
    version = computeRowVersion({ era, revision: parseRowVersion(version).revision + 1 });
    changes.push({ table, key, value, version });
    pendingCalls.forEach(({ wake }) => wake());
  };

  return {
    readRows: (table) =>
      call(table, 0, null, () => answer(listRows(table, 0).filter(({ value }) => value !== null))),
    followRows: (table, { version: after, waitMs }, signal) =>
      call(table, waitMs, signal, (isDue) => {
        if (after < historyStart || after > version) return err({ kind: 'history-lost' });
        const rows = listRows(table, after);
        return rows.length > 0 || isDue ? answer(rows) : null;
      }),
    changeRows: async ({ expected = [], removed, table, writes }) => {
      calls += 1;
      if (isSilent) return err({ kind: 'unavailable', reason: 'no answer in time' });
      const isMet = expected.every(({ key, version: wanted }) => {
        const row = changes.findLast((one) => one.table === table && one.key === key);
        return (row && row.value !== null ? row.version : 0) === wanted;
      });
      if (!isMet) return err({ kind: 'unavailable', reason: 'status 412' });
      writes.forEach(({ key, value }) => addChange(table, key, value));
      removed.forEach((key) => addChange(table, key, null));
      return ok(null);
    },
    writeRow: (table, key, value) =>
      addChange(table, key, value === null ? null : Buffer.from(JSON.stringify(value))),
    setSilent: (next) => {
      isSilent = next;
      if (next) pendingCalls.forEach((one) => Object.assign(one, { isLost: true }));
    },
    dropPendingCalls: (table) =>
      pendingCalls
        .filter((one) => one.table === table)
        .forEach((one) => Object.assign(one, { isLost: true })),
    dropHistory: () => {
      historyStart = Math.max(historyStart, version);
    },
    restoreSnapshot: (lostChanges) => {
      const kept = changes.slice(0, Math.max(0, changes.length - lostChanges));
      const lost = changes.slice(kept.length);
      changesByEra.set(era, changes);
      era += 1;
      changes = kept.map((row) => ({
        ...row,
        version: computeRowVersion({ era, revision: parseRowVersion(row.version).revision }),
      }));
      version = changes.at(-1)?.version ?? 0;
      historyStart = computeRowVersion({ era, revision: 1 });
      pendingCalls.forEach((one) => Object.assign(one, { isLost: true }));
      return lost;
    },
    listRowsAt: (table, at) => {
      const present = new Map<string, number>();
      (changesByEra.get(parseRowVersion(at).era) ?? changes)
        .filter((row) => row.table === table && row.version <= at)
        .forEach(({ key, value, version: rowVersion }) => {
          if (value === null) present.delete(key);
          else present.set(key, rowVersion);
        });
      return present;
    },
    readVersion: () => version,
    countCalls: () => calls,
    stop: async () => undefined,
  };
};
