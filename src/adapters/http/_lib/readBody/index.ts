import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type { CallerError } from '../../types';
import { computeMaxPieces } from '../computeMaxPieces';
import { createBodyBuffer } from '../createBodyBuffer';

/** Options of reading a body. */
export interface ReadBodyOptions {
  /** Counts bytes that will be held; false if there is no room for them. */
  readonly acquireBytes?: (bytes: number) => boolean;
}

/**
 * Reads the complete body of a request, up to a limit.
 *
 * A body of known length is counted before any of it is read: bodies that arrive at once would
 * otherwise each be read in part before none fits any more.
 *
 * @param maxBytes - reading stops at the first byte past the limit, whatever `Content-Length` says
 */
export const readBody = async (
  incoming: IncomingMessage,
  maxBytes: number,
  { acquireBytes = () => true }: ReadBodyOptions = {},
): Promise<Result<Uint8Array, CallerError>> => {
  const tooLarge: CallerError = { kind: 'body-too-large', maxBytes };
  const announcedBytes = Number(incoming.headers['content-length'] ?? 0);
  if (announcedBytes > maxBytes) return err(tooLarge);
  if (announcedBytes > 0 && !acquireBytes(announcedBytes)) return err({ kind: 'no-memory' });
  const body = createBodyBuffer({ expectedBytes: announcedBytes, maxBytes, acquireBytes });
  let bytes = 0;
  let pieces = 0;
  const maxPieces = computeMaxPieces(maxBytes);
  try {
    // With `destroyOnReturn` the connection would close before the answer is sent.
    for await (const chunk of incoming.iterator({ destroyOnReturn: false })) {
      bytes += (chunk as Buffer).length;
      if (bytes > maxBytes) return err(tooLarge);
      pieces += 1;
      if (pieces > maxPieces) return err({ kind: 'body-too-fragmented', maxPieces });
      if (!body.add(chunk as Buffer)) return err({ kind: 'no-memory' });
    }
  } catch {
    return err({ kind: 'caller-gone' });
  }
  return ok(body.read());
};
