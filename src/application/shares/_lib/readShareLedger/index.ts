import { parseRowVersion } from '../../../../domain/rows';
import { decodeShareLedger, type ShareLedger } from '../../../../domain/shares';
import type { RowSource } from '../../../ports';

/** A ledger as it was read; null if the store has none. */
export interface ReadLedger {
  readonly ledger: ShareLedger | null;
  readonly version: number;
  readonly era: number;
  readonly storeMs: number;
}

/** Key of the row of the ledger in its table. */
export const LEDGER_KEY = 'ledger';

/** Holdings that can't be read are as good as missing. */
const UNREADABLE: ShareLedger = { era: -1, closedUntilStoreMs: 0, holdings: [] };

/** Reads the ledger from the shared store; resolves with the reason if it can't be read. */
export const readShareLedger = async (
  store: Pick<RowSource, 'readRows'>,
  table: string,
): Promise<ReadLedger | string> => {
  const read = await store.readRows(table);
  if (read.isErr()) return read.error.kind;
  const { rows, storeMs, version } = read.value;
  if (storeMs === undefined) return 'the store states no time';
  // Its era is not known yet.
  if (version === 0) return 'the store is empty';
  const { era } = parseRowVersion(version);
  const row = rows.find(({ key, value }) => key === LEDGER_KEY && value !== null);
  if (!row?.value) return { ledger: null, version: 0, era, storeMs };
  const ledger = decodeShareLedger(row.value).unwrapOr(UNREADABLE);
  return { ledger, version: row.version, era, storeMs };
};
