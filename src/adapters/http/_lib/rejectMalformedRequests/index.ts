import type { Server } from 'node:http';
import type { Duplex } from 'node:stream';
import type { OpenRequestsWatch } from '../watchOpenRequests';

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
  { countOpen }: OpenRequestsWatch,
  handleRejected: (reason: string) => void,
): void => {
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
    const isAnswering = countOpen(socket) > 0;
    if (!socket.writable || error.code === 'ECONNRESET' || isAnswering) {
      socket.destroy();
      return;
    }
    handleRejected(error.code ?? error.message);
    const status = STATUS_BY_PARSE_ERROR[error.code ?? ''] ?? '400 Bad Request';
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  });
};
