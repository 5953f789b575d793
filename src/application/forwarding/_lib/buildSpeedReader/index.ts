import { formatIncarnation, type ServerEntry } from '../../../../domain/forwarding';
import { computeSlowness } from '../../../../domain/paces';
import type { ServerPaces } from '../../../paces';

/**
 * Builds the function that reads the prefill speed of a server relative to its service. The work
 * factor is left out: it changes too often to rank by, and VMs know different ones.
 *
 * @returns null if the servers of the service do not state how long work takes
 */
export const buildSpeedReader = (
  paces: ServerPaces,
  service: string,
): ((server: ServerEntry) => number) | null => {
  if (!paces.isUneven(service)) return null;
  const usual = paces.readServicePace(service);
  return (server) => {
    const own = paces.readPace({ service, incarnation: formatIncarnation(server) });
    return 1 / computeSlowness({ ...own, workFactor: 1 }, usual, 'prefillMsPerToken');
  };
};
