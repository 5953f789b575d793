import type { LeastLoadedServerOptions, ServerStatus } from '../../types';

const preferMatching = (
  servers: readonly ServerStatus[],
  isPreferred: (status: ServerStatus) => boolean,
): readonly ServerStatus[] => {
  const preferred = servers.filter(isPreferred);
  return preferred.length > 0 ? preferred : servers;
};

/**
 * Filters the servers that may be chosen. Suspected servers and those in the avoided availability
 * zone are among them only if there are no others.
 */
export const filterCandidates = (
  servers: readonly ServerStatus[],
  { avoidedZone, excludedIds }: Pick<LeastLoadedServerOptions, 'avoidedZone' | 'excludedIds'>,
): readonly ServerStatus[] => {
  const allowed = servers.filter(({ entry }) => !excludedIds.has(entry.id));
  const healthy = preferMatching(allowed, ({ isSuspected }) => !isSuspected);
  return preferMatching(healthy, ({ entry }) => entry.availabilityZone !== avoidedZone);
};
