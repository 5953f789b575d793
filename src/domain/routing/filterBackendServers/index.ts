import { BackendHealth, ServiceKind } from '../../types';
import type { BackendServer, FilteredServer, LoadReport, Service } from '../../types';
import type { ReadyServers } from '../types';

/** Access to the current state of the servers as known to this VM. */
export interface ServerStateView {
  readonly readHealth: (backendServer: string) => BackendHealth;
  /** Finds the latest report of a server; null if there is none. */
  readonly findReport: (backendServer: string) => LoadReport | null;
}

/** Role of an engine that has its models loaded but accepts no work. */
const STANDBY_ROLE = 'standby';

function hasModel(report: LoadReport, service: Service): boolean {
  if (service.kind === ServiceKind.Plain) return true;
  return report.models.some(
    (loaded) =>
      loaded.model === service.model &&
      (service.modelVersion === '' || loaded.version === service.modelVersion) &&
      (service.adapter === '' || loaded.adapter === service.adapter),
  );
}

function findExclusionReason(
  server: BackendServer,
  service: Service,
  excluded: readonly string[],
  state: ServerStateView,
): string | null {
  const health = state.readHealth(server.name);
  if (health !== BackendHealth.Serving) return `health-${health}`;
  if (excluded.length > 0 && excluded.includes(server.name)) return 'failed-this-request';
  const report = state.findReport(server.name);
  if (report === null) return null;
  if (report.leaving) return 'says-it-is-leaving';
  if (report.role === STANDBY_ROLE) return 'standby';
  return hasModel(report, service) ? null : 'model-not-ready';
}

/**
 * Filters the allowed servers that can accept work of a service now.
 *
 * A server without a report counts as ready: the configuration lists the service for it, and an
 * engine without the model refuses a request before it runs it.
 *
 * @param servers - servers that the configuration allows (see `filterAllowedServers`)
 * @param service - the requested service
 * @param excluded - names of servers that already failed this request
 * @param state - health and reports of the servers
 * @returns the ready servers, and the others with the reason for their exclusion
 */
export function filterBackendServers(
  servers: readonly BackendServer[],
  service: Service,
  excluded: readonly string[],
  state: ServerStateView,
): ReadyServers {
  const ready: BackendServer[] = [];
  const filtered: FilteredServer[] = [];
  servers.forEach((server) => {
    const reason = findExclusionReason(server, service, excluded, state);
    if (reason === null) ready.push(server);
    else filtered.push({ backendServer: server.name, reason });
  });
  return { ready, filtered };
}
