import { chooseOwners } from '../../membership';

/** A server of the new version. */
interface TrialServer {
  readonly entry: { readonly id: string };
}

/** Two, so that the failure of one does not end the trial. */
const MIN_SERVERS = 2;

/**
 * Chooses the servers on which a new version is tried (canaries).
 *
 * All VMs choose the same servers by rendezvous hashing. There are few of them, so that each has
 * about the load that it would have with all requests: some versions are bad under load only.
 *
 * @param fraction - fraction of the requests that go to the new version
 */
export const chooseTrialServers = <Server extends TrialServer>(
  servers: readonly Server[],
  fraction: number,
): readonly Server[] => {
  const count = Math.max(MIN_SERVERS, Math.ceil(servers.length * fraction));
  const ids = servers.map(({ entry }) => entry.id);
  const chosen = new Set(chooseOwners(ids, 'trial', count));
  return servers.filter(({ entry }) => chosen.has(entry.id));
};
