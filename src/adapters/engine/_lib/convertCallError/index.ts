import type { EngineError } from '../../../../application/ports';

/** Error codes of failures to connect, before any byte of the request was sent. */
const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const readCode = (error: unknown): string => {
  if (typeof error !== 'object' || error === null) return '';
  const { code, cause } = error as { code?: unknown; cause?: unknown };
  return typeof code === 'string' ? code : readCode(cause);
};

/**
 * Converts the error of a failed HTTP call.
 *
 * Only failures to connect count as not started. A connection reset may happen after the engine has
 * read the request; as `not-started` it would let non-idempotent work run twice.
 *
 * @param error - Error that the HTTP client threw.
 * @returns `not-started` or `broken`, with the system's error code as reason.
 */
export const convertCallError = (error: unknown): EngineError => {
  const code = readCode(error);
  if (NOT_CONNECTED_CODES.has(code)) return { kind: 'not-started', reason: code, retryAfterMs: 0 };
  return { kind: 'broken', reason: code || 'call failed' };
};
