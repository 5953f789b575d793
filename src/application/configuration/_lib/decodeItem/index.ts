import type { Result } from 'neverthrow';
import { decodeConfigurationRow, type ConfigurationRow } from '../../../../domain/configuration';
import type { TableItem } from '../../../ports';
import type { ConfigurationStoreError } from '../../types';

/** Decodes an item of the configuration partition. */
export function decodeItem(item: TableItem): Result<ConfigurationRow, ConfigurationStoreError> {
  return decodeConfigurationRow(Number(item.sort), item.body);
}
