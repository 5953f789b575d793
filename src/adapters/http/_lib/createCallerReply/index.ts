import type { ServerResponse } from 'node:http';
import type { AnswerHead } from '../../../../domain/forwarding';
import { MemoryUse } from '../../../../domain/overload';
import type { CallerReply, Refusal, RefusalKind } from '../../../../application/forwarding';
import type { HeldBytes } from '../../../../application/overload';

/** HTTP status of each kind of refusal by this process. */
const STATUS_BY_REFUSAL: Readonly<Record<RefusalKind, number>> = {
  'not-run': 503,
  'unknown-route': 404,
  'unknown-key': 401,
  lost: 502,
  'deadline-passed': 504,
};

const MS_PER_S = 1000;

/** Statuses whose answers have neither a body nor a `content-length`. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/** Bytes of an answer, in all attempts, beyond which it is a large one. */
const LARGE_ANSWER_BYTES = 262_144;

/** Options of a caller's reply. */
export interface CallerReplyOptions {
  /** Whether the connection is closed after this answer. */
  readonly isClosing: () => boolean;
  /** Counts the bytes that are held for the request. */
  readonly held: Pick<HeldBytes, 'acquire' | 'recordUnsent'>;
}

/** Creates the reply to one request, on top of a response of Node's HTTP server. */
export const createCallerReply = (
  response: ServerResponse,
  { held, isClosing }: CallerReplyOptions,
): CallerReply => {
  const leaveController = new AbortController();
  response.once('close', () => {
    if (!response.writableEnded) leaveController.abort();
  });
  let answerBytes = 0;
  const acquireBytes = (bytes: number): boolean => {
    answerBytes += bytes;
    const isLarge = answerBytes > LARGE_ANSWER_BYTES;
    return held.acquire(isLarge ? MemoryUse.LargeAnswer : MemoryUse.Answer, bytes);
  };
  const isOpen = (): boolean => !leaveController.signal.aborted && !response.writableEnded;

  const writeHead = (status: number, headers: readonly string[]): void => {
    if (isClosing()) response.shouldKeepAlive = false;
    response.writeHead(status, [...headers]);
  };

  /** Head of a streamed answer of which nothing has been written yet. */
  let waitingHead: AnswerHead | null = null;

  const writeWaitingHead = (): void => {
    if (!waitingHead) return;
    writeHead(waitingHead.status, waitingHead.forwardedHeaders);
    waitingHead = null;
  };

  const sendRefusal = ({ kind, reason, retryAfterMs }: Refusal): void => {
    if (!isOpen()) return;
    const body = Buffer.from(JSON.stringify({ error: reason }));
    const headers = ['content-type', 'application/json', 'content-length', String(body.length)];
    if (retryAfterMs > 0) headers.push('retry-after', String(retryAfterMs / MS_PER_S));
    writeHead(STATUS_BY_REFUSAL[kind], headers);
    response.end(body);
  };

  return {
    callerLeft: leaveController.signal,
    acquireBytes,
    isOpen,
    hasSentHead: () => response.headersSent,
    sendRefusal,
    sendResponse: (head, body) => {
      if (!isOpen()) return;
      // Also if the server's answer has no length: it was read whole, and a caller must be able to
      // tell whether it gets it whole.
      const hasLength = !STATUSES_WITHOUT_BODY.has(head.status) && response.req.method !== 'HEAD';
      const framing = hasLength ? ['content-length', String(body.length)] : [];
      writeHead(head.status, [...head.forwardedHeaders, ...framing]);
      response.end(body);
    },
    sendHead: (head) => {
      // In chunks, also if the server's answer has none: a caller must be able to tell an answer that
      // breaks off from a whole one.
      if (isOpen() && !response.headersSent) waitingHead = head;
    },
    write: (bytes) => {
      if (!isOpen()) return true;
      writeWaitingHead();
      if (response.write(bytes)) return true;
      held.recordUnsent(response.writableLength);
      return false;
    },
    waitForDrain: () =>
      new Promise((resolve) => {
        if (!isOpen() || !response.writableNeedDrain) {
          held.recordUnsent(response.writableLength);
          resolve();
          return;
        }
        const finish = (): void => {
          held.recordUnsent(response.writableLength);
          response.off('drain', finish);
          response.off('close', finish);
          resolve();
        };
        response.on('drain', finish);
        response.on('close', finish);
      }),
    end: () => {
      if (!isOpen()) return;
      writeWaitingHead();
      response.end();
    },
    destroy: () => {
      response.destroy();
    },
  };
};
