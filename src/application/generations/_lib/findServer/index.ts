import type { BackendServer } from '../../../../domain/types';
import type { GenerationsContext } from '../../types';

/**
 * Finds a backend server in the configuration in force.
 *
 * @param context - Generations of this VM.
 * @param name - Name of the server.
 * @returns Server, or null if it is not configured (any more).
 */
export const findServer = (context: GenerationsContext, name: string): BackendServer | null => {
  const current = context.dependencies.configuration.readCurrent();
  return current?.configuration.backendServers.find((server) => server.name === name) ?? null;
};
