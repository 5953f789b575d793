import type { EngineError } from '../../../../application/ports';
import { isUnwritten } from '../../../../http-connections';

const readCode = (error: unknown): string => {
  if (typeof error !== 'object' || error === null) return '';
  const { code, cause } = error as { code?: unknown; cause?: unknown };
  return typeof code === 'string' ? code : readCode(cause);
};

/**
 * Converts the error of a failed HTTP call.
 *
 * Only a request of which nothing was written counts as not started. A connection may break after
 * the engine has read the request; as `not-started` it would let non-idempotent work run twice.
 *
 * @param error - Error that the HTTP client threw.
 * @returns `not-started` or `broken`, with the system's error code as reason.
 */
export const convertCallError = (error: unknown): EngineError => {
  const reason = readCode(error) || 'call failed';
  return isUnwritten(error)
    ? { kind: 'not-started', reason, retryAfterMs: 0 }
    : { kind: 'broken', reason };
};
