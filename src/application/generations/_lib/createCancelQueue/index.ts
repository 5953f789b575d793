import { BackendHealth, type BackendServer } from '../../../../domain/types';
import type { EngineClient, HealthRegistry } from '../../../ports';

/** Cancels engine streams, also those of engines that do not answer now. */
export interface CancelQueue {
  cancel(server: BackendServer, streamId: string): void;
}

/** Streams remembered of one server; an engine drops a stream that nobody reads by itself. */
const MAX_QUEUED_PER_SERVER = 200;

/**
 * Creates the queue of cancellations.
 *
 * A paused engine does not hear a cancellation. When it wakes it would go on with generations that
 * run elsewhere by now, and take slots and power for nothing; so it is told again once it is back.
 *
 * @param engineClient - Calls to engines.
 * @param health - Tells when a server is back.
 * @returns Queue.
 */
export const createCancelQueue = (
  engineClient: EngineClient,
  health: HealthRegistry,
): CancelQueue => {
  const queued = new Map<string, Map<string, BackendServer>>();

  const enqueue = (server: BackendServer, streamId: string): void => {
    const streams = queued.get(server.name) ?? new Map<string, BackendServer>();
    if (streams.size < MAX_QUEUED_PER_SERVER) streams.set(streamId, server);
    queued.set(server.name, streams);
  };

  const cancel = async (server: BackendServer, streamId: string): Promise<void> => {
    const cancelled = await engineClient.cancelStream(server, streamId);
    // A server that refuses connections has no process, and so no stream either.
    if (cancelled.isErr() && cancelled.error.kind !== 'not-started') enqueue(server, streamId);
  };

  health.addListener((backendServer, state) => {
    if (state !== BackendHealth.Serving) return;
    const streams = queued.get(backendServer);
    queued.delete(backendServer);
    streams?.forEach((server, streamId) => {
      cancel(server, streamId).catch(() => undefined);
    });
  });

  return {
    cancel: (server, streamId) => {
      cancel(server, streamId).catch(() => undefined);
    },
  };
};
