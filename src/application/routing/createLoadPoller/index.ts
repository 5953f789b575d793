import { chooseOwners } from '../../../domain/membership';
import { ServiceKind } from '../../../domain/types';
import type { BackendServer, Configuration } from '../../../domain/types';
import type { Clock, ConfigurationView, EngineClient } from '../../ports';
import type { RouterLoadView } from '../types';

/** VMs that poll one server: two, so that one may die without a gap in the reports. */
const POLLERS_PER_SERVER = 2;

/** Time between two polls of a server; engines' reports lag by about as much. */
export const POLL_INTERVAL_MS = 500;

/** Time between two polls of a server's cache events. */
export const CACHE_POLL_INTERVAL_MS = 2000;

/**
 * Up to this many engines, each VM polls the cache events of all: peers pass on loads, but not what
 * is cached. Beyond it the requests would grow with engines times VMs.
 */
const MAX_CACHE_POLLED = 100;

/** What the load poller needs. */
export interface LoadPollerDependencies {
  readonly engines: EngineClient;
  readonly configuration: ConfigurationView;
  readonly load: RouterLoadView;
  readonly clock: Clock;
  readonly vm: string;
  readonly region: string;
  /** Live entry VMs of this region with this one; just this one means that it polls all servers. */
  readonly listLiveVms: () => readonly string[];
}

/** Polls back ends' load until stopped. */
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
 * Each server's load is polled by two VMs, chosen by rendezvous hashing; the others hear of it in
 * peers' news. A server is asked again only after its answer came, so that a slow one is not piled
 * upon.
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
  /** Calls `poll` for each server of `list`, again and again, but never twice at once for one. */
  const startPolling = (
    name: string,
    intervalMs: number,
    list: (all: readonly BackendServer[]) => readonly BackendServer[],
    poll: (server: BackendServer) => Promise<void>,
  ): void => {
    const busy = new Set<string>();
    const pollOnce = async (server: BackendServer): Promise<void> => {
      busy.add(server.name);
      await poll(server);
      busy.delete(server.name);
    };
    const pollAll = (): void => {
      const current = dependencies.configuration.readCurrent();
      const all = current ? listEngines(current.configuration, dependencies.region) : [];
      list(all)
        .filter((server) => !busy.has(server.name))
        .forEach((server) => {
          pollOnce(server);
        });
      cancels.set(name, clock.startTimer(intervalMs, pollAll));
    };
    pollAll();
  };
  const listOwn = (all: readonly BackendServer[]): readonly BackendServer[] => {
    const vms = dependencies.listLiveVms();
    if (vms.length <= POLLERS_PER_SERVER) return all;
    return all.filter(({ name }) => chooseOwners(vms, name, POLLERS_PER_SERVER).includes(vm));
  };

  startPolling('load', POLL_INTERVAL_MS, listOwn, pollLoad);
  startPolling(
    'cache',
    CACHE_POLL_INTERVAL_MS,
    (all) => (all.length <= MAX_CACHE_POLLED ? all : listOwn(all)),
    pollCache,
  );
  return {
    stop: () => {
      stopped = true;
      cancels.forEach((cancel) => cancel());
    },
  };
}
