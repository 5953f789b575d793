import type { ClaimError, StoreError } from '../../../ports';

/** When to try again after an answer was lost for good, milliseconds. */
const AMBIGUOUS_RETRY_AFTER_MS = 1000;

/** Converts an error of the store: nothing may be sent on the strength of the claim. */
export function convertStoreError(error: StoreError): ClaimError {
  const reason = 'reason' in error ? error.reason : error.kind;
  const retryAfterMs = error.kind === 'unavailable' ? error.retryAfterMs : AMBIGUOUS_RETRY_AFTER_MS;
  return { kind: 'store-unavailable', reason, retryAfterMs };
}
