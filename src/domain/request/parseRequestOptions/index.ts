import { err, ok, type Result } from 'neverthrow';
import type { RequestError, RequestOptions } from '../types';

/** Longest accepted key; the digest is what is stored, so this only bounds the header. */
const MAX_KEY_CHARACTERS = 255;

/** Longest accepted deadline, one day: a longer one is more likely a mistake of units. */
const MAX_TIMEOUT_MS = 86_400_000;

const IDEMPOTENT_BY_VALUE: Readonly<Record<string, boolean>> = {
  '': true,
  true: true,
  false: false,
};

/**
 * Parses the headers that say how a request is to be run.
 *
 * @param readHeader - gives the value of a header, or undefined
 * @returns the options, or which header is wrong and why
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
