import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/** Watch on the requests of each connection whose answers have not ended. */
export interface OpenRequestsWatch {
  /** Counts these requests, and those whose answers close the connection. */
  countOpen(connection: Duplex): number;
}

/**
 * Watches the requests of each connection, and tells their answers when the connection closes.
 *
 * Node.js tells this only to the answer that is being written. Those that wait behind it would never
 * close, and whatever is held for them would stay.
 */
export const watchOpenRequests = (server: Server): OpenRequestsWatch => {
  const openByConnection = new WeakMap<Duplex, Set<ServerResponse>>();

  const findOpen = (connection: Duplex): Set<ServerResponse> => {
    const known = openByConnection.get(connection);
    if (known) return known;
    const open = new Set<ServerResponse>();
    openByConnection.set(connection, open);
    connection.once('close', () =>
      open.forEach((response) => {
        if (response.socket || response.closed) return;
        response.destroy();
        response.emit('close');
      }),
    );
    return open;
  };

  server.prependListener('request', ({ socket }: IncomingMessage, response: ServerResponse) => {
    const open = findOpen(socket);
    open.add(response);
    response.once('close', () => {
      if (response.shouldKeepAlive) open.delete(response);
    });
  });
  return { countOpen: (connection) => openByConnection.get(connection)?.size ?? 0 };
};
