import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type { CallerError } from '../../types';

/**
 * Reads the complete body of a request, up to a limit.
 *
 * @param maxBytes - reading stops at the first byte past the limit, whatever `Content-Length` says
 */
export const readBody = async (
  incoming: IncomingMessage,
  maxBytes: number,
): Promise<Result<Uint8Array, CallerError>> => {
  const tooLarge: CallerError = { kind: 'body-too-large', maxBytes };
  if (Number(incoming.headers['content-length'] ?? 0) > maxBytes) return err(tooLarge);
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    // With `destroyOnReturn` the connection would close before the answer is sent.
    for await (const chunk of incoming.iterator({ destroyOnReturn: false })) {
      bytes += (chunk as Buffer).length;
      if (bytes > maxBytes) return err(tooLarge);
      chunks.push(chunk as Buffer);
    }
  } catch {
    return err({ kind: 'caller-gone' });
  }
  return ok(chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks));
};
