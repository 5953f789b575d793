import type { StoreError } from '../../../ports';
import type { ConfigurationStoreError } from '../../types';

/** Converts the error of a read into a configuration store error. */
export function convertStoreError(error: StoreError): ConfigurationStoreError {
  const reason =
    error.kind === 'condition-failed'
      ? 'the store reported a failed condition for a read'
      : error.reason;
  return { kind: 'unavailable', reason };
}
