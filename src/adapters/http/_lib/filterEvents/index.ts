import type { Server } from 'node:http';

/**
 * Hands an event of a server to its present listeners only if `accept` returns true.
 *
 * @param accept - takes the arguments of the event
 */
export const filterEvents = <Arguments extends unknown[]>(
  server: Server,
  event: 'connection' | 'request',
  accept: (...args: Arguments) => boolean,
): void => {
  const listeners = server.listeners(event);
  server.removeAllListeners(event);
  server.on(event, (...args: unknown[]) => {
    if (accept(...(args as Arguments)))
      listeners.forEach((listener) => listener.apply(server, args));
  });
};
