import type { IncomingMessage } from 'node:http';
import { computeMaxPieces } from '../computeMaxPieces';

/**
 * Discards the rest of a body, so that its caller gets the answer: a reset could reach it before.
 *
 * @param maxBytes - the connection is closed once more than this has come, or more parts than a body
 *   may have
 */
export const discardBody = (incoming: IncomingMessage, maxBytes: number): void => {
  let bytes = 0;
  let pieces = 0;
  const maxPieces = computeMaxPieces(maxBytes);
  incoming.on('data', (piece: Buffer) => {
    bytes += piece.length;
    pieces += 1;
    if (bytes > maxBytes || pieces > maxPieces) incoming.socket.destroy();
  });
};
