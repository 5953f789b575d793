import type { EngineError } from '../../../../application/ports';

/** Codes of failures that happen before any byte of the request can have left. */
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
 * Converts what a failed HTTP call threw.
 *
 * Only failures to connect count as not started. A reset may come after the engine has read the
 * request, and calling that "not started" would let non-idempotent work run twice.
 *
 * @param error - What the HTTP client threw.
 * @returns `not-started` or `broken`, with the system's code as reason.
 */
export const convertCallError = (error: unknown): EngineError => {
  const code = readCode(error);
  if (NOT_CONNECTED_CODES.has(code)) return { kind: 'not-started', reason: code, retryAfterMs: 0 };
  return { kind: 'broken', reason: code || 'call failed' };
};
