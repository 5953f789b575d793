import type { ServiceLoad } from '../../../../domain/fleet-load';
import type { FleetLoadDependencies } from '../../types';

/** The load of this VM, by service. */
export interface OwnLoad {
  /** Records a request; false if the load of the service is not shared. */
  recordArrival(service: string): boolean;
  /** Reads the services with recent requests, and starts to count arrivals anew. */
  readServices(): readonly ServiceLoad[];
}

const MS_PER_S = 1000;

/** A service without any request for this long is not reported. */
const ACTIVE_MS = 2000;

interface Arrivals {
  readonly count: number;
  readonly lastAtMs: number;
}

/** Creates the load of this VM, which has no requests yet. */
export const createOwnLoad = ({
  clock,
  isEnabled,
  readRequests,
}: Pick<FleetLoadDependencies, 'clock' | 'isEnabled' | 'readRequests'>): OwnLoad => {
  const arrivals = new Map<string, Arrivals>();
  let countedSinceMs = clock.readMonotonicMs();

  return {
    recordArrival: (service) => {
      if (!isEnabled(service)) return false;
      const count = (arrivals.get(service)?.count ?? 0) + 1;
      arrivals.set(service, { count, lastAtMs: clock.readMonotonicMs() });
      return true;
    },
    readServices: () => {
      const nowMs = clock.readMonotonicMs();
      const elapsedS = Math.max(1, nowMs - countedSinceMs) / MS_PER_S;
      countedSinceMs = nowMs;
      return [...arrivals.entries()].flatMap(([service, { count, lastAtMs }]) => {
        const requestsByServer = readRequests(service);
        const isActive = nowMs - lastAtMs <= ACTIVE_MS || requestsByServer.size > 0;
        if (!isActive || !isEnabled(service)) {
          arrivals.delete(service);
          return [];
        }
        arrivals.set(service, { count: 0, lastAtMs });
        return [{ service, arrivalsPerS: count / elapsedS, requestsByServer }];
      });
    },
  };
};
