import { filterAllowedServers } from '../../../../domain/routing';
import type { BackendServer } from '../../../../domain/types';
import type { GenerationsContext } from '../../types';

/** Workspace and service that a stream belongs to, and the server that runs it. */
export interface StreamOwner {
  readonly workspace: string;
  readonly service: string;
  readonly backendServer: string;
}

/**
 * Finds the backend server of an existing stream, if the workspace may still use the server.
 *
 * A workspace may lose the right to a place while its generation runs there. A caller that resumes
 * with an old cursor would still be served from that place; only the server named in the decision
 * log would show it. So an existing stream passes the same filter as new work, and fails closed.
 *
 * @param context - Generations of this VM.
 * @param owner - Workspace, service and server of the stream.
 * @returns Server, or null if it is no longer configured or allowed.
 */
export const findAllowedServer = (
  context: GenerationsContext,
  { workspace, service, backendServer }: StreamOwner,
): BackendServer | null => {
  const current = context.dependencies.configuration.readCurrent();
  if (!current) return null;
  return filterAllowedServers(current.configuration, workspace, service)
    .map(({ servers }) => servers.find(({ name }) => name === backendServer) ?? null)
    .unwrapOr(null);
};
