import type { ScheduledServer, StreamDemand } from '../types';

/** Checks whether a server may run a stream at all, whatever its load is. */
export const isServerAllowed = (
  { id, isUsable, version }: ScheduledServer,
  { excludedServers, versions }: Pick<StreamDemand, 'excludedServers' | 'versions'>,
): boolean =>
  isUsable &&
  !excludedServers.includes(id) &&
  (versions.length === 0 || versions.includes(version));
