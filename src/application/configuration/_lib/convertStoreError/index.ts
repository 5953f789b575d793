import type { StoreError } from '../../../ports';
import type { ConfigurationStoreError } from '../../types';

/** Converts a failure of a read. */
export function convertStoreError(error: StoreError): ConfigurationStoreError {
  const reason = error.kind === 'condition-failed' ? 'a condition failed on a read' : error.reason;
  return { kind: 'unavailable', reason };
}
