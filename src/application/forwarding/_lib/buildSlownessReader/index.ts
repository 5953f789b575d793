import { formatIncarnation, type ServerEntry } from '../../../../domain/forwarding';
import { computeSlowness, type PacedWork } from '../../../../domain/paces';
import type { ServerPaces } from '../../../paces';

/**
 * Builds the function that reads how long work takes on a server now, relative to what is usual for
 * its service.
 *
 * @returns null if the servers of the service do not state how long work takes
 */
export const buildSlownessReader = (
  paces: ServerPaces,
  service: string,
  work: PacedWork,
): ((server: ServerEntry) => number) | null => {
  if (!paces.isUneven(service)) return null;
  const usual = paces.readServicePace(service);
  return (server) =>
    computeSlowness(
      paces.readPace({ service, incarnation: formatIncarnation(server) }),
      usual,
      work,
    );
};
