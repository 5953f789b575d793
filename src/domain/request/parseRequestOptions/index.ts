import { err, ok, type Result } from 'neverthrow';
import type { RequestError, RequestOptions } from '../types';

/** Longest accepted key; limits only the header, since the digest of the key is stored. */
const MAX_KEY_CHARACTERS = 255;

/** Longest accepted deadline, one day; a longer one is likely a mistake in units. */
const MAX_TIMEOUT_MS = 86_400_000;

const IDEMPOTENT_BY_VALUE: Readonly<Record<string, boolean>> = {
  '': true,
  true: true,
  false: false,
};

/**
 * Parses the headers that control how a request is run.
 *
 * @param readHeader - returns the value of a header, or undefined
 * @returns the options, or the invalid header and the reason
 */
export const parseRequestOptions = (
  readHeader: (name: string) => string | undefined,
): Result<RequestOptions, RequestError> => {
  const idempotencyKey = readHeader('Idempotency-Key') ?? '';
  if (idempotencyKey.length > MAX_KEY_CHARACTERS) {
    const message = `longer than ${MAX_KEY_CHARACTERS} characters`;
    return err({ kind: 'bad-header', header: 'Idempotency-Key', message });
  }
  const idempotent = IDEMPOTENT_BY_VALUE[readHeader('Jackdaw-Idempotent') ?? ''];
  if (idempotent === undefined) {
    return err({ kind: 'bad-header', header: 'Jackdaw-Idempotent', message: 'not true or false' });
  }
  const timeout = readHeader('Jackdaw-Timeout-Ms');
  if (timeout === undefined) return ok({ idempotencyKey, idempotent, timeoutMs: null });
  const timeoutMs = /^\d{1,9}$/.test(timeout) ? Number(timeout) : 0;
  if (timeoutMs < 1 || timeoutMs > MAX_TIMEOUT_MS) {
    const message = `not a whole number from 1 to ${MAX_TIMEOUT_MS}`;
    return err({ kind: 'bad-header', header: 'Jackdaw-Timeout-Ms', message });
  }
  return ok({ idempotencyKey, idempotent, timeoutMs });
};
