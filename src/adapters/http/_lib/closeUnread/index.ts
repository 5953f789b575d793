import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import type { ConnectionGate } from '../../../../application/overload';
import { filterEvents } from '../filterEvents';

/** Lets the gate decide on each new connection before the HTTP parser reads from it. */
export const closeUnread = (server: Server, gate: Pick<ConnectionGate, 'acceptConnection'>): void =>
  filterEvents(server, 'connection', (socket: Socket) => {
    const isAccepted = gate.acceptConnection();
    if (!isAccepted) socket.destroy();
    return isAccepted;
  });
