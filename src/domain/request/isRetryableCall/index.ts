/** Methods that change nothing, by RFC 9110 section 9.2.1. */
const SAFE_METHODS: readonly string[] = ['GET', 'HEAD', 'OPTIONS', 'TRACE'];

/**
 * Tells whether a call to a plain service may be sent a second time.
 *
 * Each doubt counts against it: a call that bills twice is worse than one that fails.
 *
 * @param call - `serviceIdempotent` as configured, `callerIdempotent` as the header says
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
