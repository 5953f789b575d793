import type { IncomingMessage, Server } from 'node:http';
import { filterEvents } from '../filterEvents';
import type { OpenRequestsWatch } from '../watchOpenRequests';

/** Requests of one connection whose answers have not ended; a further one closes the connection. */
export const MAX_OPEN_REQUESTS = 32;

/**
 * Limits the open requests of each connection: every one takes memory, and callers may send ahead as
 * many as they like.
 *
 * @param handleExceeded - called with each connection that is closed
 */
export const limitOpenRequests = (
  server: Server,
  { countOpen }: OpenRequestsWatch,
  handleExceeded: () => void,
): void =>
  filterEvents(server, 'request', ({ socket }: IncomingMessage) => {
    // The parser hands on all requests that it has read, also after their connection was closed.
    if (socket.destroyed) return false;
    if (countOpen(socket) < MAX_OPEN_REQUESTS) return true;
    handleExceeded();
    socket.destroy();
    return false;
  });
