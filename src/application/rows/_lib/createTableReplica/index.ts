import type { RowChanges, SharedRow } from '../../../ports';

/** The rows of a table as far as they are known. */
export interface TableReplica {
  /** Version up to which no change is missing; 0 before anything is known. */
  readVersion(): number;
  /** Takes rows that are newer than those held; returns these. */
  mergeRows(changes: readonly SharedRow[]): readonly SharedRow[];
  /** Takes all rows of a moment: those held that it lacks count as removed. Returns what is news. */
  mergeSnapshot(whole: RowChanges): readonly SharedRow[];
  /** No change up to the version is missing any more. */
  advanceVersion(version: number): void;
  /** Rows that changed after the version; null if that is not known any more. */
  listChanges(afterVersion: number): RowChanges | null;
}

/** Removed rows that are remembered, so that peers learn of them. */
const MAX_REMOVED_ROWS = 2000;

/** Creates the rows of a table; none is known. A row never goes back to an older version. */
export const createTableReplica = (): TableReplica => {
  const rows = new Map<string, SharedRow>();
  let version = 0;
  /** Changes up to this version may be missing among the removed rows that are remembered. */
  let forgottenVersion = 0;

  const dropOldRemovals = (): void => {
    const removed = [...rows.values()].filter(({ value }) => value === null);
    removed.slice(0, Math.max(0, removed.length - MAX_REMOVED_ROWS)).forEach((row) => {
      rows.delete(row.key);
      forgottenVersion = Math.max(forgottenVersion, row.version);
    });
  };

  const mergeRows = (changes: readonly SharedRow[]): readonly SharedRow[] => {
    const news = changes.filter((row) => row.version > (rows.get(row.key)?.version ?? 0));
    news.forEach((row) => {
      // Set anew, so that the map stays in the order of changes.
      rows.delete(row.key);
      rows.set(row.key, row);
    });
    dropOldRemovals();
    return news;
  };

  return {
    readVersion: () => version,
    mergeRows,
    mergeSnapshot: (whole) => {
      const told = new Map(whole.rows.map((row) => [row.key, row]));
      // Another VM's rows may have a removal of an earlier era, which is older than the row held.
      const isMissing = ({ key, version: heldVersion }: SharedRow): boolean => {
        const row = told.get(key);
        return row === undefined || (row.value === null && row.version <= heldVersion);
      };
      const removed = [...rows.values()]
        .filter((row) => row.value !== null && row.version <= whole.version && isMissing(row))
        .map(({ key }) => ({ key, value: null, version: whole.version }));
      // From the newest row on, as a read gives them by key.
      const sorted = [...whole.rows].sort((left, right) => left.version - right.version);
      const news = mergeRows([...removed, ...sorted]);
      // Rows that went before this moment are not in it: who is behind it may hold some of them.
      forgottenVersion = Math.max(forgottenVersion, whole.version);
      version = Math.max(version, whole.version);
      return news;
    },
    advanceVersion: (upTo) => {
      version = Math.max(version, upTo);
    },
    listChanges: (afterVersion) => {
      if (afterVersion > 0 && afterVersion < forgottenVersion) return null;
      const changed = [...rows.values()].filter((row) => row.version > afterVersion);
      changed.sort((left, right) => left.version - right.version);
      return { rows: changed, version };
    },
  };
};
