import type { Result } from 'neverthrow';
import type { StoreError } from './StoreError';
import type { TableItem, WriteCondition } from './TableItem';

/** The platform's transactional table service. Reads are strongly consistent. */
export interface TableStore {
  /** Reads one row, or null. */
  readItem(partition: string, sort: string): Promise<Result<TableItem | null, StoreError>>;
  /** Lists rows of a partition in the order of `sort`, newest first if `descending`. */
  listItems(
    partition: string,
    options: { readonly limit: number; readonly descending: boolean },
  ): Promise<Result<readonly TableItem[], StoreError>>;
  /** Writes a row if the condition holds. Never retries an ambiguous write by itself. */
  writeItem(item: TableItem, condition: WriteCondition): Promise<Result<void, StoreError>>;
  /** Removes a row if the condition holds. */
  removeItem(
    partition: string,
    sort: string,
    condition: WriteCondition,
  ): Promise<Result<void, StoreError>>;
}
