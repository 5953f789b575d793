import { formatIncarnation, type ServerStatus } from '../../../../domain/forwarding';
import type { EventFields } from '../../../ports';
import type { ForwardContext, ForwardingDependencies } from '../../types';

/**
 * Records the pace by which a server was chosen.
 *
 * @param slowness - how long a call takes on it now, relative to the service
 * @returns the pace, as fields of the log line of the choice
 */
export const recordServerPace = (
  { meter, serverPaces }: ForwardingDependencies,
  { service }: ForwardContext,
  { entry, reportedAgeMs }: ServerStatus,
  slowness: number,
): EventFields => {
  meter.recordServerPace(service, slowness, reportedAgeMs);
  const pace = serverPaces.readPace({ service, incarnation: formatIncarnation(entry) });
  return {
    pace: Math.round(pace.callMs * 10) / 10,
    workFactor: Math.round(pace.workFactor * 100) / 100,
    factorAgeMs: Number.isFinite(reportedAgeMs) ? Math.round(reportedAgeMs) : -1,
  };
};
