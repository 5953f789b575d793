import { ok, type Result } from 'neverthrow';
import type { ConfigurationRow } from '../../../domain/configuration';
import type { TableStore } from '../../ports';
import { convertStoreError } from '../_lib/convertStoreError';
import { decodeItem } from '../_lib/decodeItem';
import { CONFIGURATION_PARTITION } from '../partition';
import type { ConfigurationStoreError } from '../types';

/** Reads the newest accepted version, or null if there is none yet. */
export async function readNewestRow(
  table: TableStore,
): Promise<Result<ConfigurationRow | null, ConfigurationStoreError>> {
  const listed = await table.listItems(CONFIGURATION_PARTITION, { limit: 1, descending: true });
  return listed
    .mapErr(convertStoreError)
    .andThen(([item]) => (item === undefined ? ok(null) : decodeItem(item)));
}
