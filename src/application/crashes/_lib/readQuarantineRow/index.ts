import { err, ok, type Result } from 'neverthrow';
import { decodeQuarantine, type Quarantine } from '../../../../domain/crashes';
import type { RowSource } from '../../../ports';

/** Table of the quarantines in the shared store. */
export interface QuarantineTable {
  readonly store: Pick<RowSource, 'readRows'>;
  readonly table: string;
}

/** The row of a fingerprint. */
export interface StoredQuarantine {
  /** Its time is in Unix milliseconds; null if there is no row that can be decoded. */
  readonly quarantine: Quarantine | null;
  /** Version of the row; 0 if there is none. */
  readonly version: number;
  /** The store's clock; undefined if it does not state it. */
  readonly storeMs: number | undefined;
}

/** Reads the row of a fingerprint; an error is the kind of the store's. */
export const readQuarantineRow = async (
  { store, table }: QuarantineTable,
  fingerprint: string,
): Promise<Result<StoredQuarantine, string>> => {
  const read = await store.readRows(table);
  if (read.isErr()) return err(read.error.kind);
  const { rows, storeMs } = read.value;
  const row = rows.find(({ key }) => key === fingerprint);
  const quarantine = row?.value ? decodeQuarantine(fingerprint, row.value).unwrapOr(null) : null;
  return ok({ quarantine, version: row?.version ?? 0, storeMs });
};
