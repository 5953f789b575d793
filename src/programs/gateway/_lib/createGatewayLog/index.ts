import { write } from 'node:fs';
import {
  createEventLog,
  createLineQueue,
  createRoarrLogger,
  type LineQueue,
} from '../../../../adapters/log';
import type { EventLog } from '../../../../application/ports';

/** Maximum characters of log lines queued for standard output: about 5000 lines. */
const MAX_QUEUED_CHARACTERS = 1_500_000;

const STANDARD_OUTPUT = 1;

/** Delay before another write to a full pipe. */
const FULL_PIPE_RETRY_MS = 5;

/**
 * Writes to standard output without blocking the event loop.
 *
 * `process.stdout` blocks on a pipe that is full because its reader is slow.
 */
const writeOutput = (text: string, done: () => void): void => {
  const bytes = Buffer.from(text);
  const writeFrom = (offset: number): void =>
    write(STANDARD_OUTPUT, bytes, offset, bytes.length - offset, null, (error, written) => {
      if (error?.code === 'EAGAIN') setTimeout(() => writeFrom(offset), FULL_PIPE_RETRY_MS);
      else if (error || offset + written >= bytes.length) done();
      else writeFrom(offset + written);
    });
  writeFrom(0);
};

/** Event log of a gateway and the queue of its lines. */
export interface GatewayLog {
  readonly log: EventLog;
  readonly lines: LineQueue;
}

/** Creates the log of a gateway, which writes one line of JSON per event to standard output. */
export const createGatewayLog = async (vm: string): Promise<GatewayLog> => {
  const lines = createLineQueue({
    maxCharacters: MAX_QUEUED_CHARACTERS,
    formatDropNotice: (dropped) => `${JSON.stringify({ message: 'log lines dropped', dropped })}\n`,
    write: writeOutput,
  });
  const logger = await createRoarrLogger('jackdaw-gateway');
  // roarr writes with the function in its global object.
  Object.assign((globalThis as { ROARR?: object }).ROARR ?? {}, { write: lines.push });
  return { log: createEventLog(logger.child({ vm })), lines };
};
