import type { ServerEntry } from '../../../../domain/forwarding';
import type { StreamRun } from '../../types';

/**
 * Finds a server that can continue from the copy. Servers that stopped the run themselves did not
 * fail, so they are not excluded.
 */
export const findCopyHolder = ({ context, copy, dependencies }: StreamRun): ServerEntry | null => {
  if (!copy?.hasData) return null;
  const { directory } = dependencies;
  const servers = copy.holders
    .map(directory.findServing)
    .filter((entry) => entry !== null)
    .filter(context.servers.isAllowed)
    .filter(({ id }) => !directory.isRateLimited(id));
  return servers.find(({ id }) => directory.isHealthy(id)) ?? servers[0] ?? null;
};
