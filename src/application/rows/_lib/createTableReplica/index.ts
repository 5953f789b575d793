import type { RowChanges, SharedRow } from '../../../ports';

/** Local replica of a table. */
export interface TableReplica {
  /** Version up to which the replica is complete; 0 while it is empty. */
  readVersion(): number;
  /** Merges changed rows; returns those that were newer than the held ones. */
  mergeRows(changes: readonly SharedRow[]): readonly SharedRow[];
  /** Merges all rows of the table; held rows missing there are removed. Returns what changed. */
  mergeSnapshot(snapshot: RowChanges): readonly SharedRow[];
  /** Records that the replica is complete up to a version. */
  advanceVersion(version: number): void;
  /** Lists the rows that changed after a version; null if tombstones since then were dropped. */
  listChanges(afterVersion: number): RowChanges | null;
}

/** Tombstones of removed rows that are kept so that peers learn of the removals. */
const MAX_TOMBSTONES = 2000;

/** Creates an empty replica. A row never goes back to an older version. */
export const createTableReplica = (): TableReplica => {
  const rows = new Map<string, SharedRow>();
  let version = 0;
  /** Tombstones up to this version may have been dropped. */
  let droppedVersion = 0;

  const dropOldTombstones = (): void => {
    const tombstones = [...rows.values()].filter(({ value }) => value === null);
    tombstones.slice(0, Math.max(0, tombstones.length - MAX_TOMBSTONES)).forEach((row) => {
      rows.delete(row.key);
      droppedVersion = Math.max(droppedVersion, row.version);
    });
  };

  const mergeRows = (changes: readonly SharedRow[]): readonly SharedRow[] => {
    const newer = changes.filter((row) => row.version > (rows.get(row.key)?.version ?? 0));
    newer.forEach((row) => {
      // Deleted first, so that the map stays in the order of changes.
      rows.delete(row.key);
      rows.set(row.key, row);
    });
    dropOldTombstones();
    return newer;
  };

  return {
    readVersion: () => version,
    mergeRows,
    mergeSnapshot: (snapshot) => {
      const snapshotRows = new Map(snapshot.rows.map((row) => [row.key, row]));
      // A snapshot of another VM may hold a tombstone of an earlier era, older than the held row.
      const isRemoved = ({ key, version: heldVersion }: SharedRow): boolean => {
        const row = snapshotRows.get(key);
        return row === undefined || (row.value === null && row.version <= heldVersion);
      };
      const tombstones = [...rows.values()]
        .filter((row) => row.value !== null && row.version <= snapshot.version && isRemoved(row))
        .map(({ key }) => ({ key, value: null, version: snapshot.version }));
      // A read returns rows ordered by key; the replica keeps them ordered by version.
      const sorted = [...snapshot.rows].sort((left, right) => left.version - right.version);
      const newer = mergeRows([...tombstones, ...sorted]);
      // A snapshot has no tombstones: a VM at an older version may still hold removed rows.
      droppedVersion = Math.max(droppedVersion, snapshot.version);
      version = Math.max(version, snapshot.version);
      return newer;
    },
    advanceVersion: (completeVersion) => {
      version = Math.max(version, completeVersion);
    },
    listChanges: (afterVersion) => {
      if (afterVersion > 0 && afterVersion < droppedVersion) return null;
      const changed = [...rows.values()].filter((row) => row.version > afterVersion);
      changed.sort((left, right) => left.version - right.version);
      return { rows: changed, version };
    },
  };
};
