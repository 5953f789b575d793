import type { LoadPart, ServiceLoad } from '../types';

/**
 * Computes the requests of other VMs at each server of a service.
 *
 * @param zones - one sum for each zone, of which one includes the VM's own part
 * @param own - the own part
 */
export const computeOtherRequests = (
  zones: readonly LoadPart[],
  own: LoadPart,
  service: string,
): ReadonlyMap<string, number> => {
  const findLoads = (parts: readonly LoadPart[]): readonly ServiceLoad[] =>
    parts.flatMap(({ services }) => services.filter((load) => load.service === service));
  const requests = new Map<string, number>();
  findLoads(zones).forEach(({ requestsByServer }) =>
    requestsByServer.forEach((count, server) =>
      requests.set(server, (requests.get(server) ?? 0) + count),
    ),
  );
  findLoads([own]).forEach(({ requestsByServer }) =>
    requestsByServer.forEach((count, server) =>
      requests.set(server, Math.max(0, (requests.get(server) ?? 0) - count)),
    ),
  );
  return requests;
};
