import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import type { ConnectionGate } from '../../../../application/overload';

/** Lets the gate decide on each new connection before the HTTP parser reads from it. */
export const closeUnread = (
  server: Server,
  gate: Pick<ConnectionGate, 'acceptConnection'>,
): void => {
  const listeners = server.listeners('connection');
  server.removeAllListeners('connection');
  server.on('connection', (socket: Socket) => {
    if (gate.acceptConnection()) listeners.forEach((listener) => listener.call(server, socket));
    else socket.destroy();
  });
};
