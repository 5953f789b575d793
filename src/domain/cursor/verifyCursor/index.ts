import { timingSafeEqual } from 'node:crypto';
import { err, ok, Result } from 'neverthrow';
import { z } from 'zod';
import type { Cursor } from '../../types';
import { computeSignature } from '../_lib/computeSignature';

/** Why a cursor was rejected. */
export type CursorError = { readonly kind: 'malformed' } | { readonly kind: 'bad-signature' };

/** Longest accepted cursor; valid cursors are far shorter, since all names in them are bounded. */
const MAX_CURSOR_CHARACTERS = 2048;

const cursorFields = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.int().nonnegative(),
  z.string(),
  z.string(),
  z.string(),
  z.int().nonnegative(),
  z.string(),
]);

const parseJson = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  (): CursorError => ({ kind: 'malformed' }),
);

const isSignedBy = (payload: string, signature: Buffer, key: string): boolean => {
  const expected = computeSignature(payload, key);
  return expected.length === signature.length && timingSafeEqual(expected, signature);
};

const decodeFields = (value: unknown): Result<Cursor, CursorError> => {
  const parsed = cursorFields.safeParse(value);
  if (!parsed.success) return err({ kind: 'malformed' });
  const [generationId, workspace, service, attempt, streamId, backendServer, vm, offset, chain] =
    parsed.data;
  return ok({
    generationId,
    workspace,
    service,
    attempt,
    streamId,
    backendServer,
    vm,
    offset,
    chain,
  });
};

/**
 * Verifies the signature of a cursor and decodes the cursor.
 *
 * @param text - Cursor as returned by the caller; untrusted.
 * @param keys - Cursor keys of the deployment; any of them may have signed the cursor.
 * @returns The cursor, `bad-signature` (also for an altered cursor) or `malformed`.
 */
export const verifyCursor = (
  text: string,
  keys: readonly string[],
): Result<Cursor, CursorError> => {
  if (text.length > MAX_CURSOR_CHARACTERS) return err({ kind: 'malformed' });
  const [payload, signatureText, ...rest] = text.split('.');
  if (!payload || !signatureText || rest.length > 0) return err({ kind: 'malformed' });
  const signature = Buffer.from(signatureText, 'base64url');
  if (!keys.some((key) => isSignedBy(payload, signature, key))) {
    return err({ kind: 'bad-signature' });
  }
  return parseJson(Buffer.from(payload, 'base64url').toString()).andThen(decodeFields);
};
