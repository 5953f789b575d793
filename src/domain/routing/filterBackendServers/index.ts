import { BackendHealth, ServiceKind } from '../../types';
import type { BackendServer, FilteredServer, LoadReport, Service } from '../../types';
import type { ReadyServers } from '../types';

/** What this VM knows of the servers at this moment. */
export interface ServerStateView {
  readonly readHealth: (backendServer: string) => BackendHealth;
  /** The newest report, or null. */
  readonly findReport: (backendServer: string) => LoadReport | null;
}

/** Role of an engine that holds its models but takes no work. */
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

function findFault(
  server: BackendServer,
  service: Service,
  excluded: readonly string[],
  knowledge: ServerStateView,
): string | null {
  const health = knowledge.readHealth(server.name);
  if (health !== BackendHealth.Serving) return `health-${health}`;
  if (excluded.length > 0 && excluded.includes(server.name)) return 'failed-this-request';
  const report = knowledge.findReport(server.name);
  if (report === null) return null;
  if (report.leaving) return 'says-it-is-leaving';
  if (report.role === STANDBY_ROLE) return 'standby';
  return hasModel(report, service) ? null : 'model-not-ready';
}

/**
 * Filters the allowed servers that can take work of a service now.
 *
 * A server without a report passes: the configuration says that it serves, and an engine without
 * the model refuses before it starts.
 *
 * @param servers - servers that the configuration allows (see `filterAllowedServers`)
 * @param service - the service asked for
 * @param excluded - servers that failed this request before
 * @param knowledge - health and reports
 * @returns the ready ones, and the others with a reason each
 */
export function filterBackendServers(
  servers: readonly BackendServer[],
  service: Service,
  excluded: readonly string[],
  knowledge: ServerStateView,
): ReadyServers {
  const ready: BackendServer[] = [];
  const filtered: FilteredServer[] = [];
  servers.forEach((server) => {
    const reason = findFault(server, service, excluded, knowledge);
    if (reason === null) ready.push(server);
    else filtered.push({ backendServer: server.name, reason });
  });
  return { ready, filtered };
}
