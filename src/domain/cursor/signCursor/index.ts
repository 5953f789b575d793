import type { Cursor } from '../../types';
import { computeSignature } from '../_lib/computeSignature';

/**
 * Signs a cursor and encodes it as compact text that is valid as an SSE event id.
 *
 * @param cursor - Position to encode.
 * @param keys - Cursor keys of the deployment; the first one signs.
 * @returns `<payload>.<signature>`, both base64url.
 */
export const signCursor = (cursor: Cursor, keys: readonly [string, ...string[]]): string => {
  const fields = [
    cursor.generationId,
    cursor.workspace,
    cursor.service,
    cursor.attempt,
    cursor.streamId,
    cursor.backendServer,
    cursor.vm,
    cursor.offset,
    cursor.chain,
  ];
  const payload = Buffer.from(JSON.stringify(fields)).toString('base64url');
  return `${payload}.${computeSignature(payload, keys[0]).toString('base64url')}`;
};
