import type { ServerResponse } from 'node:http';
import type { Work } from '../../../../application/shutdown';

/** Time for which a caller may take nothing of an answer that is being sent. */
const STALL_TIMEOUT_MS = 60_000;

/**
 * Gives up a caller that takes nothing for a minute: its connection would hold the answer in
 * memory for ever. The generation goes on, and the caller can come back with its cursor.
 */
export const startStallTimeout = (outgoing: ServerResponse): void => {
  outgoing.setTimeout(STALL_TIMEOUT_MS, () => outgoing.destroy());
};

/** Tells whether the caller of one request is still there. */
export interface ResponseWatch {
  /** Aborts when the caller has closed the connection before the answer's end. */
  readonly signal: AbortSignal;
}

/** Starts to watch a response for its caller going away. */
export const watchResponse = (outgoing: ServerResponse): ResponseWatch => {
  const controller = new AbortController();
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) controller.abort();
  });
  return { signal: controller.signal };
};

/**
 * Ends a piece of work when its answer has left, or its caller has gone.
 *
 * An answer that was handed to the socket may still wait there for a slow caller; a process that
 * took the work as ended would cut it off.
 */
export const endWorkOnClose = (outgoing: ServerResponse, work: Work): void => {
  if (outgoing.closed) {
    work.end();
    return;
  }
  startStallTimeout(outgoing);
  outgoing.once('close', () => work.end());
};
