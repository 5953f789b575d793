import type { IncomingMessage, ServerResponse } from 'node:http';
import { setImmediate } from 'node:timers/promises';

/** Part of a request that makes no progress. */
export type StalledPart = 'body' | 'answer';

/** Options of a stall watch. */
export interface StallWatchOptions {
  /** Longest time without progress. */
  readonly timeoutMs: number;
  readonly handleStall: (part: StalledPart) => void;
}

/** Turns of the event loop in which a process reads, and sends, what waited while it stood still. */
const CATCH_UP_TURNS = 2;

/**
 * Watches for a caller that sends no more of its body, or reads no more of its answer: the bytes
 * held for it would otherwise stay in memory as long as its connection.
 *
 * The socket's timer restarts with each byte, in both directions. A caller that waits for a server
 * is no stall, nor is one whose bytes lie unread because this process stood still: timers are due
 * before they are read.
 */
export const watchStall = (
  incoming: IncomingMessage,
  response: ServerResponse,
  { handleStall, timeoutMs }: StallWatchOptions,
): void => {
  const { socket } = incoming;
  const findStalledPart = (): StalledPart | null => {
    if (response.writableLength > 0) return 'answer';
    return incoming.complete ? null : 'body';
  };
  const checkStall = async (): Promise<void> => {
    const { bytesRead } = socket;
    const unsentBytes = response.writableLength;
    for (let turn = 0; turn < CATCH_UP_TURNS; turn += 1) await setImmediate();
    const hasProgress = socket.bytesRead > bytesRead || response.writableLength < unsentBytes;
    const part = hasProgress || response.closed ? null : findStalledPart();
    if (part) handleStall(part);
  };
  response.setTimeout(timeoutMs, checkStall);
};
