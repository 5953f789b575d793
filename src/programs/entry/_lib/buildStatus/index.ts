import type { PeerExchange } from '../../../../application/peers';
import type { ConfigurationView, HealthRegistry, LoadView } from '../../../../application/ports';

/** Sources of the status. */
export interface StatusSources {
  readonly vm: string;
  readonly configuration: ConfigurationView;
  readonly exchange: PeerExchange;
  readonly health: HealthRegistry;
  readonly load: LoadView;
  readonly readState: () => {
    readonly draining: boolean;
    readonly cutOff: boolean;
    /** Age of this VM's latest read of the table, or null if it has read none. */
    readonly tableReadAgeMs: number | null;
    readonly running: number;
    readonly generations: number;
  };
}

/** Builds the status of this process for `jackdaw status`; see docs/operators/status.md. */
export const buildStatus = (sources: StatusSources) => {
  const current = sources.configuration.readCurrent();
  const reports = new Map(sources.load.listReports().map((item) => [item.backendServer, item]));
  const servers = current?.configuration.backendServers ?? [];
  return {
    vm: sources.vm,
    ...sources.readState(),
    configuration: current === null ? null : { ...current, configuration: undefined },
    deployment: current?.configuration.deployment ?? '',
    places: current?.configuration.places ?? [],
    services: (current?.configuration.services ?? []).map(({ kind, name, workClass }) => ({
      name,
      kind,
      workClass,
    })),
    backendServers: servers.map((server) => ({
      name: server.name,
      region: server.region,
      availabilityZone: server.availabilityZone,
      services: server.services,
      health: sources.health.readHealth(server.name),
      report: reports.get(server.name) ?? null,
    })),
    engineTargets: current?.configuration.engineTargets ?? [],
    vms: sources.exchange.listPeers(),
    suspicions: sources.health.listSuspicions(),
  };
};
