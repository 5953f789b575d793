import { setImmediate as waitForLoop } from 'node:timers/promises';
import type { RawServer } from '../startRawServer';

/** Requests until the client must have used a connection again. */
const MAX_TRIES = 50;

/** Sends requests until one comes on a connection with earlier ones, and returns its outcome. */
export const sendOnKeptConnection = async <T>(
  { requests }: RawServer,
  sendRequest: () => Promise<T>,
): Promise<T> => {
  for (let tries = 0; tries < MAX_TRIES; tries += 1) {
    const outcome = await sendRequest();
    if ((requests.at(-1)?.earlier ?? 0) > 0) return outcome;
    await waitForLoop();
  }
  throw new Error('no request came on a connection with earlier ones');
};
