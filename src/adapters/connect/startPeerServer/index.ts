import type { Result } from 'neverthrow';
import type { PeerServices } from '../../../application/peers';
import { startConnectServer, type PeerServer, type PeerServerError } from '../startConnectServer';
import { createPeerHandlers } from './_lib/createPeerHandlers';

/** What the peer server needs. */
export interface PeerServerDependencies {
  /** IP number to listen on. */
  readonly host: string;
  /** TCP port; 0 takes a free one. */
  readonly port: number;
  readonly services: PeerServices;
}

/**
 * Starts the server that peers and operators call.
 *
 * @returns the server, or `listen-failed` if the address can't be had
 */
export const startPeerServer = ({
  services,
  ...listen
}: PeerServerDependencies): Promise<Result<PeerServer, PeerServerError>> =>
  startConnectServer({ ...listen, routes: createPeerHandlers(services) });
