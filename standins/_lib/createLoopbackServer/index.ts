import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { getRequestListener } from '@hono/node-server';

/** Answers a request; `env` holds the two sides of the connection. */
type FetchCallback = Parameters<typeof getRequestListener>[0];

/** A server on 127.0.0.1 whose connections a test can break. */
export interface LoopbackServer {
  /** The port, once started. */
  readPort(): number;
  start(handleRequest: FetchCallback): Promise<void>;
  /** Destroys every open connection; new ones are accepted. */
  destroyConnections(): void;
  /** Destroys every connection and refuses new ones. */
  stop(): Promise<void>;
  /** Listens again on the same port after `stop`. */
  restart(): Promise<void>;
}

const KEEP_ALIVE_MS = 60_000;

/**
 * Creates a server that does not listen yet.
 *
 * @param port - 0 for any free port
 */
export function createLoopbackServer(port: number): LoopbackServer {
  const sockets = new Set<Socket>();
  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, noDelay: true });
  let boundPort = port;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  const listen = async () => {
    server.listen(boundPort, '127.0.0.1');
    await once(server, 'listening');
    boundPort = (server.address() as AddressInfo).port;
  };
  const destroyConnections = () =>
    sockets.forEach((socket) => {
      // Data written earlier is still sent, as after the crash of a process. The server does not
      // wait for a peer that does not read.
      socket.destroySoon();
      setImmediate(() => socket.destroy());
    });
  return {
    readPort: () => boundPort,
    start: async (handleRequest) => {
      server.on('request', getRequestListener(handleRequest, { overrideGlobalObjects: false }));
      await listen();
    },
    destroyConnections,
    stop: async () => {
      if (!server.listening) return;
      const closed = once(server, 'close');
      server.close();
      destroyConnections();
      await closed;
    },
    restart: listen,
  };
}
