import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type { CallerError } from '../../types';
import { createBodyBuffer } from '../createBodyBuffer';
import { createBodyMeter } from '../createBodyMeter';

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
  const announcedBytes = Number(incoming.headers['content-length'] ?? 0);
  if (announcedBytes > maxBytes) return err({ kind: 'body-too-large', maxBytes });
  if (announcedBytes > 0 && !acquireBytes(announcedBytes)) return err({ kind: 'no-memory' });
  const meter = createBodyMeter(maxBytes);
  const body = createBodyBuffer({ expectedBytes: announcedBytes, maxBytes, acquireBytes });
  try {
    // With `destroyOnReturn` the connection would close before the answer is sent.
    for await (const part of incoming.iterator({ destroyOnReturn: false })) {
      const excess = meter.addPart(part as Buffer);
      if (excess) return err(excess);
      if (!body.addPart(part as Buffer)) return err({ kind: 'no-memory' });
    }
  } catch {
    return err({ kind: 'caller-gone' });
  }
  return ok(body.read());
};
