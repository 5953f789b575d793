import { ok, type Result } from 'neverthrow';
import { formatVersionKey, type ConfigurationRow } from '../../../domain/configuration';
import type { TableStore } from '../../ports';
import { convertStoreError } from '../_lib/convertStoreError';
import { decodeItem } from '../_lib/decodeItem';
import { CONFIGURATION_PARTITION } from '../partition';
import type { ConfigurationStoreError } from '../types';

/** Reads one accepted version, or null if there is no such version. */
export async function readVersionRow(
  table: TableStore,
  version: number,
): Promise<Result<ConfigurationRow | null, ConfigurationStoreError>> {
  const read = await table.readItem(CONFIGURATION_PARTITION, formatVersionKey(version));
  return read
    .mapErr(convertStoreError)
    .andThen((item) => (item === null ? ok(null) : decodeItem(item)));
}
