import type { Result } from 'neverthrow';
import type { PeerServices } from '../../../application/peers';
import { startConnectServer, type PeerServer, type PeerServerError } from '../startConnectServer';
import { createPeerHandlers } from './_lib/createPeerHandlers';

/** Dependencies of the peer server. */
export interface PeerServerDependencies {
  /** IP address to listen on. */
  readonly host: string;
  /** TCP port; 0 selects a free port. */
  readonly port: number;
  readonly services: PeerServices;
}

/**
 * Starts the server for calls of peers and operators.
 *
 * @returns the server, or `listen-failed` if the address is not available
 */
export const startPeerServer = ({
  services,
  ...listen
}: PeerServerDependencies): Promise<Result<PeerServer, PeerServerError>> =>
  startConnectServer({ ...listen, routes: createPeerHandlers(services) });
