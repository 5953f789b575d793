import type { IncomingMessage } from 'node:http';
import { createBodyMeter } from '../createBodyMeter';

/**
 * Discards the rest of a body, so that its caller gets the answer: a reset could reach it before.
 *
 * @param maxBytes - size of the largest body; the connection is closed once more has come
 */
export const discardBody = (incoming: IncomingMessage, maxBytes: number): void => {
  const meter = createBodyMeter(maxBytes);
  incoming.on('data', (part: Buffer) => {
    if (meter.addPart(part)) incoming.socket.destroy();
  });
};
