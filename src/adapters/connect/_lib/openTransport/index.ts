import type { Transport } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { createSessionManager, type SessionManager } from '../createSessionManager';

/** A connection that has been idle this long is checked with a ping. */
const PING_INTERVAL_MS = 5_000;
const PING_TIMEOUT_MS = 500;
const IDLE_CONNECTION_TIMEOUT_MS = 30_000;

/** A connection to another process, established on the first call. */
export interface OpenTransport {
  readonly transport: Transport;
  readonly manager: SessionManager;
}

/** Opens the single HTTP/2 connection to an address; an idle connection is closed. */
export const openTransport = (peerAddress: string): OpenTransport => {
  const baseUrl = `http://${peerAddress}`;
  const manager = createSessionManager(baseUrl, {
    pingIntervalMs: PING_INTERVAL_MS,
    pingTimeoutMs: PING_TIMEOUT_MS,
    idleConnectionTimeoutMs: IDLE_CONNECTION_TIMEOUT_MS,
  });
  const transport = createConnectTransport({
    baseUrl,
    httpVersion: '2',
    sessionManager: manager,
    acceptCompression: [],
  });
  return { transport, manager };
};
