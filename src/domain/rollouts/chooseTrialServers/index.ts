import { chooseOwners } from '../../membership';

/** What is known of a server of the new version. */
interface TrialServer {
  readonly entry: { readonly id: string };
}

/** One that fails must not end the trial. */
const MIN_SERVERS = 2;

/**
 * Chooses the servers that a new version is tried at, the same at each VM: few, so that each of them
 * has about the load that it would have with all requests. Some versions are bad under load only.
 *
 * @param part - part of the requests that try the new version
 */
export const chooseTrialServers = <Server extends TrialServer>(
  servers: readonly Server[],
  part: number,
): readonly Server[] => {
  const count = Math.max(MIN_SERVERS, Math.ceil(servers.length * part));
  const ids = servers.map(({ entry }) => entry.id);
  const chosen = new Set(chooseOwners(ids, 'trial', count));
  return servers.filter(({ entry }) => chosen.has(entry.id));
};
