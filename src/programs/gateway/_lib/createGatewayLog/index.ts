import { write } from 'node:fs';
import {
  createEventLog,
  createLineQueue,
  createRoarrLogger,
  type LineQueue,
} from '../../../../adapters/log';
import type { EventLog } from '../../../../application/ports';

/** Log lines that may wait for standard output, in characters: about 5000 lines. */
const MAX_WAITING_CHARACTERS = 1_500_000;

const STANDARD_OUTPUT = 1;

/** Pause before a full pipe is written to again. */
const FULL_PIPE_MS = 5;

/**
 * Writes to standard output without ever blocking the loop.
 *
 * `process.stdout` would: its writes to a pipe wait while nobody reads.
 */
const writeOutput = (text: string, done: () => void): void => {
  const bytes = Buffer.from(text);
  const writeFrom = (offset: number): void =>
    write(STANDARD_OUTPUT, bytes, offset, bytes.length - offset, null, (error, written) => {
      if (error?.code === 'EAGAIN') setTimeout(() => writeFrom(offset), FULL_PIPE_MS);
      else if (error || offset + written >= bytes.length) done();
      else writeFrom(offset + written);
    });
  writeFrom(0);
};

/** The log of a gateway, and the queue of its lines. */
export interface GatewayLog {
  readonly log: EventLog;
  readonly lines: LineQueue;
}

/** Creates the log of a gateway: one JSON line a message, on standard output. */
export const createGatewayLog = async (vm: string): Promise<GatewayLog> => {
  const lines = createLineQueue({
    maxCharacters: MAX_WAITING_CHARACTERS,
    formatDropNotice: (dropped) => `${JSON.stringify({ message: 'log lines dropped', dropped })}\n`,
    write: writeOutput,
  });
  const logger = await createRoarrLogger('jackdaw-gateway');
  // roarr writes to wherever its global says.
  Object.assign((globalThis as { ROARR?: object }).ROARR ?? {}, { write: lines.push });
  return { log: createEventLog(logger.child({ vm })), lines };
};
