import { err, ok, type Result } from 'neverthrow';
import type {
  StoreError,
  TableItem,
  TableStore,
  WriteCondition,
} from '../../../src/application/ports';
import { createStoreFaults, type StoreFaults } from '../_lib/createStoreFaults';

/** A table in memory, with switches for its faults. */
export interface MemoryTableStore extends TableStore, StoreFaults {}

const conditionHolds = (condition: WriteCondition, current: TableItem | undefined): boolean => {
  if (condition.kind === 'any') return true;
  if (condition.kind === 'absent') return current === undefined;
  return current?.revision === condition.revision;
};

/** Creates a table in memory that behaves as the platform's table does. */
export function createMemoryTableStore(): MemoryTableStore {
  const faults = createStoreFaults();
  const partitions = new Map<string, Map<string, TableItem>>();
  const openPartition = (partition: string): Map<string, TableItem> => {
    const rows = partitions.get(partition) ?? new Map<string, TableItem>();
    partitions.set(partition, rows);
    return rows;
  };
  const checkWrite = (
    partition: string,
    sort: string,
    condition: WriteCondition,
  ): Result<Map<string, TableItem>, StoreError> => {
    const rows = openPartition(partition);
    const current = rows.get(sort);
    return conditionHolds(condition, current)
      ? ok(rows)
      : err({ kind: 'condition-failed', current: current ?? null });
  };

  return {
    ...faults,
    readItem: (partition, sort) =>
      faults.runRead(() => partitions.get(partition)?.get(sort) ?? null),
    listItems: (partition, { limit, descending }) =>
      faults.runRead(() => {
        const rows = [...openPartition(partition).values()].sort((a, b) =>
          a.sort < b.sort ? -1 : 1,
        );
        return (descending ? rows.reverse() : rows).slice(0, limit);
      }),
    writeItem: (item, condition) =>
      faults.runWrite(() => {
        const checked = checkWrite(item.partition, item.sort, condition);
        if (checked.isErr()) return err(checked.error);
        checked.value.set(item.sort, item);
        return ok(undefined);
      }),
    removeItem: (partition, sort, condition) =>
      faults.runWrite(() => {
        const checked = checkWrite(partition, sort, condition);
        if (checked.isErr()) return err(checked.error);
        checked.value.delete(sort);
        return ok(undefined);
      }),
  };
}
