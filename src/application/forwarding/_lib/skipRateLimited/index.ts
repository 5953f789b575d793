import type { ServerEntry } from '../../../../domain/forwarding';
import type { ForwardContext, ForwardingDependencies } from '../../types';
import { logDecision } from '../logDecision';

/**
 * Skips a server whose rate limit leaves no permit to this VM.
 *
 * @param waitMs - time until the server is worth asking again
 */
export const skipRateLimited = (
  dependencies: ForwardingDependencies,
  context: ForwardContext,
  server: ServerEntry,
  waitMs: number,
): void => {
  const limitPerS = dependencies.limits.readLimitPerS(server.id) ?? 0;
  logDecision(dependencies, context, 'server limit reached', { limitPerS, waitMs }, server);
  dependencies.directory.recordRateLimited(server.id, waitMs);
};
