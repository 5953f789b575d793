import { BackendHealth, type BackendServer } from '../../../../domain/types';
import type { EngineClient, EngineError, HealthRegistry } from '../../../ports';

/** Cancels engine streams, including those of engines that are not responding. */
export interface CancelQueue {
  cancel(server: BackendServer, streamId: string): void;
}

/** Cancellations queued per server; an engine drops a stream by itself if nobody reads it. */
const MAX_QUEUED_PER_SERVER = 200;

/** Reason of a call to an address at which no process listens. */
const REFUSED_REASON = 'ECONNREFUSED';

/** True if the server has no running process, and so no stream; its host said so. */
const isProcessGone = (error: EngineError): boolean =>
  error.kind === 'not-started' && error.reason === REFUSED_REASON;

/**
 * Creates the queue of cancellations.
 *
 * A paused engine does not receive a cancellation. After the pause it would continue generations
 * that run elsewhere by then, and waste slots and power. So failed cancellations are sent again
 * once the server is healthy.
 *
 * @param engineClient - Calls to engines.
 * @param health - Notifies when a server serves again.
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
    if (cancelled.isErr() && !isProcessGone(cancelled.error)) enqueue(server, streamId);
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
