/** Safe methods of RFC 9110, section 9.2.1. */
const SAFE_METHODS: readonly string[] = ['GET', 'HEAD', 'OPTIONS', 'TRACE'];

/**
 * Checks whether a call to a plain service may be retried.
 *
 * A call is not retried in case of doubt: a duplicate charge is worse than a failed call.
 *
 * @param call - `serviceIdempotent` from the configuration, `callerIdempotent` from the header
 */
export const isRetryableCall = (call: {
  readonly method: string;
  readonly serviceIdempotent: boolean;
  readonly callerIdempotent: boolean;
  readonly idempotencyKey: string;
}): boolean => {
  if (!call.serviceIdempotent || !call.callerIdempotent) return false;
  return SAFE_METHODS.includes(call.method) || call.idempotencyKey !== '';
};
