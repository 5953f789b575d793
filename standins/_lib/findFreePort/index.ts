import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';

/** Finds a free port on loopback. */
export const findFreePort = async (): Promise<number> => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
};
