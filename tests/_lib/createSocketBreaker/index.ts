import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

/** Breaks connections of clients in this process. */
export interface SocketBreaker {
  /** Breaks the connection of which `peer` is the other end, with an error of the code. */
  breakOff(peer: Socket, code: string): void;
  /** Breaks all connections but the one of which `peer` is the other end. */
  breakOthers(peer: Socket, code: string): void;
  stop(): void;
}

/** Codes of errors that also end established connections, when a link or a neighbour goes away. */
export const CONNECT_CODES = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
] as const;

const CHANNEL = 'net.client.socket';

/** Creates the breaker of the connections that are opened from now on. */
export const createSocketBreaker = (): SocketBreaker => {
  const sockets = new Set<Socket>();
  const addSocket = (message: unknown): void => {
    const { socket } = message as { readonly socket: Socket };
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  };
  subscribe(CHANNEL, addSocket);
  const breakWhere = (code: string, passes: (socket: Socket) => boolean): void =>
    [...sockets]
      .filter(passes)
      .forEach((socket) => socket.destroy(Object.assign(new Error(code), { code })));
  return {
    breakOff: (peer, code) => breakWhere(code, ({ localPort }) => localPort === peer.remotePort),
    breakOthers: (peer, code) => breakWhere(code, ({ localPort }) => localPort !== peer.remotePort),
    stop: () => unsubscribe(CHANNEL, addSocket),
  };
};
