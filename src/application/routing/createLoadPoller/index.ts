import { chooseOwners } from '../../../domain/membership';
import { ServiceKind } from '../../../domain/types';
import type { BackendServer, Configuration } from '../../../domain/types';
import type { Clock, ConfigurationView, EngineClient } from '../../ports';
import type { RouterLoadView } from '../types';

/** VMs that poll each server: two, so that the failure of one leaves no gap in the reports. */
const POLLERS_PER_SERVER = 2;

/** Time between two load polls of a server; the reports of engines lag by about as much. */
export const POLL_INTERVAL_MS = 500;

/** Time between two polls of a server's cache events. */
export const CACHE_POLL_INTERVAL_MS = 2000;

/**
 * Up to this many engines, each VM polls the cache events of all of them, because peers exchange
 * loads but not cache events. In a larger fleet the polls would grow as engines times VMs.
 */
const MAX_CACHE_POLLED_ENGINES = 100;

/** Dependencies of the load poller. */
export interface LoadPollerDependencies {
  readonly engines: EngineClient;
  readonly configuration: ConfigurationView;
  readonly load: RouterLoadView;
  readonly clock: Clock;
  readonly vm: string;
  readonly region: string;
  /** Live entry VMs of this region, including this VM; a VM that is alone polls all servers. */
  readonly listLiveVms: () => readonly string[];
}

/** Polls the load of backend servers until stopped. */
export interface LoadPoller {
  stop(): void;
}

function listEngines(configuration: Configuration, region: string): readonly BackendServer[] {
  const models = new Set(
    configuration.services.filter(({ kind }) => kind === ServiceKind.Model).map(({ name }) => name),
  );
  return configuration.backendServers.filter(
    (server) => server.region === region && server.services.some((name) => models.has(name)),
  );
}

/**
 * Creates the poller of load reports and cache events of the model engines of this region.
 *
 * Two VMs, chosen by rendezvous hashing, poll the load of each server; the other VMs get the
 * reports through gossip. A server is polled again only after its last poll has ended, so that
 * polls do not pile up at a slow server.
 */
export function createLoadPoller(dependencies: LoadPollerDependencies): LoadPoller {
  const { engines, load, clock, vm } = dependencies;
  const cancels = new Map<string, () => void>();
  let stopped = false;

  const pollLoad = async (server: BackendServer): Promise<void> => {
    const report = await engines.readLoad(server);
    if (!stopped && report.isOk()) load.recordReport(report.value);
  };
  const pollCache = async (server: BackendServer): Promise<void> => {
    const startedMs = clock.readMonotonicMs();
    const events = await engines.listCacheEvents(server, load.readCacheSequence(server.name));
    if (stopped || events.isErr()) return;
    load.recordZoneRoundTripMs(server.availabilityZone, clock.readMonotonicMs() - startedMs);
    load.recordCacheEvents(server.name, events.value);
  };
  /** Polls each selected server periodically, with at most one poll of a server in flight. */
  const startPolling = (
    name: string,
    intervalMs: number,
    selectServers: (servers: readonly BackendServer[]) => readonly BackendServer[],
    poll: (server: BackendServer) => Promise<void>,
  ): void => {
    const inFlight = new Set<string>();
    const pollServer = async (server: BackendServer): Promise<void> => {
      inFlight.add(server.name);
      await poll(server);
      inFlight.delete(server.name);
    };
    const pollAll = (): void => {
      const current = dependencies.configuration.readCurrent();
      const servers = current ? listEngines(current.configuration, dependencies.region) : [];
      selectServers(servers)
        .filter((server) => !inFlight.has(server.name))
        .forEach((server) => {
          pollServer(server);
        });
      cancels.set(name, clock.startTimer(intervalMs, pollAll));
    };
    pollAll();
  };
  const listAssigned = (servers: readonly BackendServer[]): readonly BackendServer[] => {
    const vms = dependencies.listLiveVms();
    if (vms.length <= POLLERS_PER_SERVER) return servers;
    return servers.filter(({ name }) => chooseOwners(vms, name, POLLERS_PER_SERVER).includes(vm));
  };

  startPolling('load', POLL_INTERVAL_MS, listAssigned, pollLoad);
  startPolling(
    'cache',
    CACHE_POLL_INTERVAL_MS,
    (servers) => (servers.length <= MAX_CACHE_POLLED_ENGINES ? servers : listAssigned(servers)),
    pollCache,
  );
  return {
    stop: () => {
      stopped = true;
      cancels.forEach((cancel) => cancel());
    },
  };
}
