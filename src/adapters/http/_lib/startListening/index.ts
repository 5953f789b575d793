import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { err, ok, type Result } from 'neverthrow';

/** A listening HTTP server. */
export interface ListeningServer {
  readonly url: string;
  /** Stops listening and closes all open connections. */
  stop(): Promise<void>;
}

/** Error of a server that could not listen. */
export interface ListenError {
  readonly kind: 'cannot-listen';
  readonly address: string;
  readonly reason: string;
}

const stopServer = (server: Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });

/**
 * Starts listening with a configured server.
 *
 * @param listen - host and port; port 0 selects a free port
 */
export const startListening = (
  server: Server,
  listen: { readonly host: string; readonly port: number },
): Promise<Result<ListeningServer, ListenError>> =>
  new Promise((resolve) => {
    const address = `${listen.host}:${listen.port}`;
    const fail = (error: Error): void =>
      resolve(err({ kind: 'cannot-listen', address, reason: error.message }));
    server.once('error', fail);
    server.listen(listen.port, listen.host, () => {
      server.off('error', fail);
      const { port } = server.address() as AddressInfo;
      resolve(ok({ url: `http://${listen.host}:${port}`, stop: () => stopServer(server) }));
    });
  });
