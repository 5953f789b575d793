import type { FleetReader } from '../../../../domain/forwarding';
import type { FleetLoad } from '../../../fleet-load';
import type { ServerPaces } from '../../../paces';

/**
 * Builds the reader of the requests of all VMs to a service.
 *
 * @returns null if they are not known, or if the servers do not state how long work takes
 */
export const buildFleetReader = (
  fleetLoad: Pick<FleetLoad, 'readLoad'>,
  paces: Pick<ServerPaces, 'isUneven' | 'readServicePace'>,
  service: string,
): FleetReader | null => {
  const view = paces.isUneven(service) ? fleetLoad.readLoad(service) : null;
  if (!view) return null;
  const { callMs } = paces.readServicePace(service);
  return {
    ageMs: view.ageMs,
    countOthers: ({ id }) => view.otherRequests.get(id) ?? 0,
    readCrossingCost: (availabilityZone) => {
      const crossingMs = view.crossingsMs.get(availabilityZone);
      return crossingMs === undefined || callMs === 0 ? null : crossingMs / callMs;
    },
  };
};
