import { createServer } from 'node:http2';
import type { ServerHttp2Session } from 'node:http2';
import type { AddressInfo } from 'node:net';
import type { ConnectRouter } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';

/** News of a large region stays far below this; a longer message is refused. */
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Where a server listens, and what it answers. */
export interface ConnectServerOptions {
  /** IP number to listen on. */
  readonly host: string;
  /** TCP port; 0 takes a free one. */
  readonly port: number;
  readonly routes: (router: ConnectRouter) => void;
}

/** A running peer server. */
export interface PeerServer {
  /** `ip:port` on which it listens. */
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
 * Starts a server that the system's other processes call, by connect over HTTP/2 without TLS.
 *
 * HTTP/2 because its compressed headers cost about a quarter of those of HTTP/1.1, which alone
 * would use up most of the budget of bytes a second (docs/decisions/030-membership.md).
 *
 * @returns the server, or `listen-failed` if the address can't be had
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
    // A peer that dies resets its connection: nothing to do but to forget it.
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
