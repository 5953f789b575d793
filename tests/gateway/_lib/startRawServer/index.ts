import { createServer, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { readBody } from '../../../../standins/_lib/readBody';
import type { StandInServer } from '../../../../standins/gateway';
import { listenOnLoopback } from '../listenOnLoopback';

/** A request that a raw server received. */
export interface RawRequest {
  readonly target: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  readonly socket: Socket;
  /** Number of earlier requests on its connection. */
  readonly earlier: number;
}

/** A server that writes the bytes of its answers itself. */
export interface RawServer extends Pick<StandInServer, 'address' | 'id' | 'stop'> {
  /** Requests so far. */
  readonly requests: readonly RawRequest[];
}

/** Starts a server that passes each request to `handle`, which writes to its connection. */
export const startRawServer = async (
  id: string,
  handle: (request: RawRequest) => void,
): Promise<RawServer> => {
  const requests: RawRequest[] = [];
  const earlierBySocket = new Map<Socket, number>();
  const server = createServer(async (incoming) => {
    const { headers, socket, url } = incoming;
    const body = await readBody(incoming);
    const earlier = earlierBySocket.get(socket) ?? 0;
    earlierBySocket.set(socket, earlier + 1);
    const request = { target: url ?? '', headers, body, socket, earlier };
    requests.push(request);
    handle(request);
  });
  server.on('connection', (socket) => {
    socket.on('error', () => socket.destroy());
    socket.on('close', () => earlierBySocket.delete(socket));
  });
  return { id, requests, ...(await listenOnLoopback(server)) };
};
