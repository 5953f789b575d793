import type { ServerResponse } from 'node:http';
import type { Work } from '../../../../application/shutdown';

/** Longest time in which a caller may read nothing of an answer that is being sent. */
const STALL_TIMEOUT_MS = 60_000;

/**
 * Closes the connection of a caller that reads nothing for a minute: its answer would otherwise
 * stay in memory forever. The generation continues, and the caller can resume with its cursor.
 */
export const startStallTimeout = (outgoing: ServerResponse): void => {
  outgoing.setTimeout(STALL_TIMEOUT_MS, () => outgoing.destroy());
};

/** Watch on whether the caller of one request is still connected. */
export interface ResponseWatch {
  /** Aborts when the caller closes the connection before the answer's end. */
  readonly signal: AbortSignal;
}

/** Starts watching for the caller of a response to disconnect. */
export const watchResponse = (outgoing: ServerResponse): ResponseWatch => {
  const controller = new AbortController();
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) controller.abort();
  });
  return { signal: controller.signal };
};

/**
 * Ends a piece of work when its response closes: its answer was sent, or its caller disconnected.
 *
 * An answer that was written to the socket may still be buffered there for a slow caller. If the
 * work ended earlier, a shutdown would truncate that answer.
 */
export const endWorkOnClose = (outgoing: ServerResponse, work: Work): void => {
  if (outgoing.closed) {
    work.end();
    return;
  }
  startStallTimeout(outgoing);
  outgoing.once('close', () => work.end());
};
