import type { IncomingMessage, ServerResponse } from 'node:http';

/** Part of a request that makes no progress. */
export type StalledPart = 'body' | 'answer';

/** Options of a stall watch. */
export interface StallWatchOptions {
  /** Longest time without progress. */
  readonly timeoutMs: number;
  readonly handleStall: (part: StalledPart) => void;
}

/**
 * Watches for a caller that sends no more of its body, or reads no more of its answer: the bytes
 * held for it would otherwise stay in memory as long as its connection.
 *
 * The socket's timer restarts with each byte, in both directions. A caller that waits for a server
 * is no stall.
 */
export const watchStall = (
  incoming: IncomingMessage,
  response: ServerResponse,
  { handleStall, timeoutMs }: StallWatchOptions,
): void => {
  response.setTimeout(timeoutMs, () => {
    if (response.writableLength > 0) handleStall('answer');
    else if (!incoming.complete) handleStall('body');
  });
};
