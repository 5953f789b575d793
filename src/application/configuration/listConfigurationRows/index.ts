import { Result } from 'neverthrow';
import type { ConfigurationRow } from '../../../domain/configuration';
import type { TableStore } from '../../ports';
import { convertStoreError } from '../_lib/convertStoreError';
import { decodeItem } from '../_lib/decodeItem';
import { CONFIGURATION_PARTITION } from '../partition';
import type { ConfigurationStoreError } from '../types';

/** Lists up to `limit` accepted versions, newest first. */
export async function listConfigurationRows(
  table: TableStore,
  limit: number,
): Promise<Result<readonly ConfigurationRow[], ConfigurationStoreError>> {
  const listed = await table.listItems(CONFIGURATION_PARTITION, { limit, descending: true });
  return listed.mapErr(convertStoreError).andThen((items) => Result.combine(items.map(decodeItem)));
}
