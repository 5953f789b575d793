import { err, ok, type Result } from 'neverthrow';
import type { StoreClient } from '../../../platform';
import type { Clock, RowChanges, RowError, SharedRow } from '../../../src/application/ports';

/** A store in virtual time whose calls can be lost without a word. */
export interface VirtualStore extends StoreClient {
  /** Writes a row; null removes it. Acknowledged at once. */
  writeRow(table: string, key: string, value: object | null): void;
  /** While silent, calls that come are lost, and so are those that wait when it begins. */
  setSilent(isSilent: boolean): void;
  /** The calls that wait on this table are lost; new ones are answered. */
  loseWaiting(table: string): void;
  /** Calls so far. */
  countCalls(): number;
}

/** A call that nothing answers is given up this much later than it was to be answered. */
const GIVE_UP_MS = 600;

const ANSWER_MS = 4;

interface Waiting {
  readonly table: string;
  wake: () => void;
  isLost: boolean;
}

/** Creates a store in virtual time. */
export const createVirtualStore = (clock: Clock): VirtualStore => {
  const changes: (SharedRow & { readonly table: string })[] = [];
  let waiting: Waiting[] = [];
  let version = 1;
  let isSilent = false;
  let calls = 0;

  const listRows = (table: string, after: number): SharedRow[] => {
    const newest = new Map<string, SharedRow>();
    changes
      .filter((row) => row.table === table && row.version > after)
      .forEach(({ key, value, version: at }) => newest.set(key, { key, value, version: at }));
    return [...newest.values()].sort((left, right) => left.version - right.version);
  };

  /** Answers after the store's own time; a call that is lost is given up at its limit. */
  const call = (
    table: string,
    waitMs: number,
    signal: AbortSignal | null,
    listNews: (isDue: boolean) => RowChanges | null,
  ): Promise<Result<RowChanges, RowError>> =>
    new Promise((resolve) => {
      calls += 1;
      const cancels: (() => void)[] = [];
      const self: Waiting = { table, isLost: isSilent, wake: () => undefined };
      const end = (result: Result<RowChanges, RowError>): void => {
        cancels.forEach((cancel) => cancel());
        waiting = waiting.filter((one) => one !== self);
        resolve(result);
      };
      const look = (isDue: boolean): void => {
        const news = self.isLost ? null : listNews(isDue);
        if (news) end(ok(news));
      };
      self.wake = () => cancels.push(clock.startTimer(ANSWER_MS, () => look(false)));
      waiting.push(self);
      self.wake();
      cancels.push(
        clock.startTimer(waitMs + ANSWER_MS, () => look(true)),
        clock.startTimer(waitMs + GIVE_UP_MS, () =>
          end(err({ kind: 'unavailable', reason: 'no answer in time' })),
        ),
      );
      signal?.addEventListener('abort', () =>
        end(err({ kind: 'unavailable', reason: 'given up' })),
      );
    });

  return {
    readRows: (table) =>
      call(table, 0, null, () => ({
        rows: listRows(table, 0).filter(({ value }) => value !== null),
        version,
      })),
    followRows: (table, { version: after, waitMs }, signal) =>
      call(table, waitMs, signal, (isDue) => {
        const rows = listRows(table, after);
        return rows.length > 0 || isDue ? { rows, version } : null;
      }),
    writeRow: (table, key, value) => {
      version += 1;
      const encoded = value === null ? null : Buffer.from(JSON.stringify(value));
      changes.push({ table, key, value: encoded, version });
      waiting.forEach(({ wake }) => wake());
    },
    setSilent: (next) => {
      isSilent = next;
      if (next) waiting.forEach((one) => Object.assign(one, { isLost: true }));
    },
    loseWaiting: (table) =>
      waiting
        .filter((one) => one.table === table)
        .forEach((one) => Object.assign(one, { isLost: true })),
    countCalls: () => calls,
    stop: async () => undefined,
  };
};
