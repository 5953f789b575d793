import type { ServerResponse } from 'node:http';

/** Tells whether the caller of one request is still there. */
export interface ResponseWatch {
  /** Aborts when the caller has closed the connection before the answer's end. */
  readonly signal: AbortSignal;
}

/** Starts to watch a response for its caller going away. */
export const startResponseWatch = (outgoing: ServerResponse): ResponseWatch => {
  const controller = new AbortController();
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) controller.abort();
  });
  return { signal: controller.signal };
};
