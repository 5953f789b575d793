import { createServer } from 'node:http2';
import type { ServerHttp2Session } from 'node:http2';
import type { AddressInfo } from 'node:net';
import type { ConnectRouter } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';

/** Longer messages are refused; the news of a large region is far shorter. */
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Address and routes of a server. */
export interface ConnectServerOptions {
  /** IP address to listen on. */
  readonly host: string;
  /** TCP port; 0 selects a free port. */
  readonly port: number;
  readonly routes: (router: ConnectRouter) => void;
}

/** A running peer server. */
export interface PeerServer {
  /** `ip:port` on which the server listens. */
  readonly address: string;
  /** Closes the server and every connection to it. */
  stop(): Promise<void>;
}

/** The peer server could not listen. */
export interface PeerServerError {
  readonly kind: 'listen-failed';
  readonly reason: string;
}

/**
 * Starts a server for calls of the system's other processes: Connect over HTTP/2 without TLS.
 *
 * HTTP/2 compresses headers to about a quarter of their size in HTTP/1.1, where headers alone would
 * use most of the bandwidth budget (docs/decisions/030-membership.md).
 *
 * @returns the server, or `listen-failed` if the address is not available
 */
export const startConnectServer = ({
  host,
  port,
  routes,
}: ConnectServerOptions): Promise<Result<PeerServer, PeerServerError>> => {
  const sessions = new Set<ServerHttp2Session>();
  const server = createServer(connectNodeAdapter({ readMaxBytes: MAX_MESSAGE_BYTES, routes }));
  server.on('session', (session) => {
    sessions.add(session);
    // A peer that crashes resets its connection, which needs no further handling.
    session.on('error', () => session.destroy());
    session.on('close', () => sessions.delete(session));
  });
  const stop = () =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
      sessions.forEach((session) => session.destroy());
    });
  const listening = new Promise<PeerServer>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      const { address, port: boundPort } = server.address() as AddressInfo;
      resolve({ address: `${address}:${boundPort}`, stop });
    });
  });
  const started = ResultAsync.fromPromise(listening, (error): PeerServerError => ({
    kind: 'listen-failed',
    reason: `cannot listen on ${host}:${port}: ${String(error)}`,
  }));
  return Promise.resolve(started);
};
