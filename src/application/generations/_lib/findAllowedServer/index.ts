import { filterAllowedServers } from '../../../../domain/routing';
import type { BackendServer } from '../../../../domain/types';
import type { GenerationsContext } from '../../types';

/** Whose stream at which server. */
export interface StreamOwner {
  readonly workspace: string;
  readonly service: string;
  readonly backendServer: string;
}

/**
 * Finds the backend server of a stream that is to be read on, if the work may still run there.
 *
 * What goes wrong: a place is taken from a workspace while its generation runs there; a caller that
 * comes back with an old cursor would be served from that place on. One notices by the server in
 * the decision log. So a taken-over stream passes the same filter as new work, and fails closed.
 *
 * @param context - Generations of this VM.
 * @param owner - Workspace, service and server of the stream.
 * @returns Server, or null if it is not configured or not allowed (any more).
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
