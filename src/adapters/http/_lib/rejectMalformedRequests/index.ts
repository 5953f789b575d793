import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/** Status line by error code of Node's HTTP parser; every other code is a 400. */
const STATUS_BY_PARSE_ERROR: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/**
 * Rejects malformed requests, and those whose headers take too long, in place of Node's HTTP server.
 *
 * Malformed bytes after a request that is being answered or was rejected get no answer: the caller
 * would take it for the answer to that request.
 */
export const rejectMalformedRequests = (
  server: Server,
  handleRejected: (reason: string) => void,
): void => {
  /** By connection: the answers that have not ended, and those that close it. */
  const answersBySocket = new WeakMap<Duplex, number>();
  const countAnswers = (socket: Duplex): number => answersBySocket.get(socket) ?? 0;
  server.prependListener('request', ({ socket }: IncomingMessage, response: ServerResponse) => {
    if (socket.destroyed) return;
    answersBySocket.set(socket, countAnswers(socket) + 1);
    response.once('close', () => {
      if (response.shouldKeepAlive) answersBySocket.set(socket, countAnswers(socket) - 1);
    });
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
    const isAnswering = countAnswers(socket) > 0;
    if (!socket.writable || error.code === 'ECONNRESET' || isAnswering) {
      socket.destroy();
      return;
    }
    handleRejected(error.code ?? error.message);
    const status = STATUS_BY_PARSE_ERROR[error.code ?? ''] ?? '400 Bad Request';
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  });
};
