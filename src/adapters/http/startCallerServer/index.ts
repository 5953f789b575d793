import type { Server } from 'node:http';
import { createAdaptorServer } from '@hono/node-server';
import type { Result } from 'neverthrow';
import { limitOpenRequests } from '../_lib/limitOpenRequests';
import { rejectMalformedRequests } from '../_lib/rejectMalformedRequests';
import { startListening, type ListeningServer, type ListenError } from '../_lib/startListening';
import { watchOpenRequests } from '../_lib/watchOpenRequests';

export type { ListeningServer, ListenError } from '../_lib/startListening';

/**
 * Starts the HTTP server for callers.
 *
 * @param listen - host and port; port 0 selects a free port
 */
export const startCallerServer = (
  app: { readonly fetch: Parameters<typeof createAdaptorServer>[0]['fetch'] },
  listen: { readonly host: string; readonly port: number },
): Promise<Result<ListeningServer, ListenError>> => {
  // Overriding the global Request and Response would also affect undici in this process.
  const server = createAdaptorServer({
    fetch: app.fetch,
    overrideGlobalObjects: false,
  }) as Server;
  // No timeout, since bodies may be long and callers slow; the body size is limited instead.
  server.requestTimeout = 0;
  const openRequests = watchOpenRequests(server);
  limitOpenRequests(server, openRequests, () => undefined);
  rejectMalformedRequests(server, openRequests, () => undefined);
  return startListening(server, listen);
};
