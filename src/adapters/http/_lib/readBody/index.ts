import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type { CallerError } from '../../types';

/**
 * Reads a request's whole body, up to a limit.
 *
 * @param maxBytes - reading stops at the first byte past it, whatever `Content-Length` says
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
    // `destroyOnReturn` off: the answer still has to go out on this connection.
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
