import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { watchOpenRequests } from '../watchOpenRequests';

/** Requests of one connection whose answers have not ended; a further one closes the connection. */
export const MAX_OPEN_REQUESTS = 32;

/**
 * Limits the open requests of each connection: every one takes memory, and callers may send ahead as
 * many as they like.
 *
 * Call this before further listeners are added to the server.
 *
 * @param handleExceeded - called with each connection that is closed
 */
export const limitOpenRequests = (server: Server, handleExceeded: () => void): void => {
  const listeners = server.listeners('request');
  server.removeAllListeners('request');
  const openRequests = watchOpenRequests(server);
  server.on('request', (incoming: IncomingMessage, response: ServerResponse) => {
    const { socket } = incoming;
    // The parser hands on all requests that it has read, also after their connection was closed.
    if (socket.destroyed) return;
    if (openRequests.countOpen(socket) > MAX_OPEN_REQUESTS) {
      handleExceeded();
      socket.destroy();
      return;
    }
    listeners.forEach((listener) => listener.call(server, incoming, response));
  });
};
