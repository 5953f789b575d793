import type { ClaimError, StoreError } from '../../../ports';

/** Delay before a retry after a response was lost and could not be resolved, in milliseconds. */
const AMBIGUOUS_RETRY_AFTER_MS = 1000;

/** Converts an error of the store to an error of the claim, under which nothing may be sent. */
export function convertStoreError(error: StoreError): ClaimError {
  const reason = 'reason' in error ? error.reason : error.kind;
  const retryAfterMs = error.kind === 'unavailable' ? error.retryAfterMs : AMBIGUOUS_RETRY_AFTER_MS;
  return { kind: 'store-unavailable', reason, retryAfterMs };
}
