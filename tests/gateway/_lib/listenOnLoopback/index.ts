import { once } from 'node:events';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { drawLoopbackHost } from '../../../../standins/_lib/drawLoopbackHost';

/** A server that listens on a loopback address of its own. */
export interface LoopbackListener {
  /** IP:PORT. */
  readonly address: string;
  stop(): Promise<void>;
}

/** Lets a server listen on a loopback address of its own. */
export const listenOnLoopback = async (server: Server): Promise<LoopbackListener> => {
  server.listen(0, drawLoopbackHost());
  await once(server, 'listening');
  const { address, port } = server.address() as AddressInfo;
  return {
    address: `${address}:${port}`,
    stop: async () => {
      server.close();
      server.closeAllConnections();
      await once(server, 'close');
    },
  };
};
