import { formatIncarnation, type ServerEntry } from '../../../../domain/forwarding';
import { computeRelativePace, type PacedWork, type RelativePace } from '../../../../domain/paces';
import type { ServerPaces } from '../../../paces';

/**
 * Builds the function that reads how long work takes on a server now, relative to its service.
 *
 * @returns null if the servers of the service do not state how long work takes
 */
export const buildPaceReader = (
  paces: ServerPaces,
  service: string,
  work: PacedWork,
): ((server: ServerEntry) => RelativePace) | null => {
  if (!paces.isUneven(service)) return null;
  const usual = paces.readServicePace(service);
  return (server) =>
    computeRelativePace(
      paces.readPace({ service, incarnation: formatIncarnation(server) }),
      usual,
      work,
    );
};
