import type { Server } from 'node:http';
import { createAdaptorServer } from '@hono/node-server';
import type { Result } from 'neverthrow';
import { startListening, type ListeningServer, type ListenError } from '../_lib/startListening';

export type { ListeningServer, ListenError } from '../_lib/startListening';

/**
 * Starts to serve callers.
 *
 * @param listen - host and port; port 0 takes a free one
 */
export const startCallerServer = (
  app: { readonly fetch: Parameters<typeof createAdaptorServer>[0]['fetch'] },
  listen: { readonly host: string; readonly port: number },
): Promise<Result<ListeningServer, ListenError>> => {
  // The replacement of the global Request and Response would change undici's in this process.
  const server = createAdaptorServer({
    fetch: app.fetch,
    overrideGlobalObjects: false,
  }) as Server;
  // Bodies may be long and callers slow; the body's size is bounded instead.
  server.requestTimeout = 0;
  return startListening(server, listen);
};
