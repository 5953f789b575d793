import { encodeQuarantine, type Quarantine } from '../../../../domain/crashes';
import type { RowWriter } from '../../../ports';

/**
 * Writes the row of a quarantine, unless another VM has changed it since it was read.
 *
 * @param quarantine - its time is in Unix milliseconds
 * @param version - version of the row that was read; 0 if there was none
 * @returns null, or the kind of the store's error
 */
export const writeQuarantineRow = async (
  { store, table }: { readonly store: RowWriter; readonly table: string },
  quarantine: Quarantine,
  version: number,
): Promise<string | null> => {
  const key = quarantine.fingerprint;
  const written = await store.changeRows({
    table,
    writes: [{ key, value: encodeQuarantine(quarantine) }],
    removed: [],
    expected: [{ key, version }],
  });
  return written.isErr() ? written.error.kind : null;
};
