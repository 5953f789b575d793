import { choosePollers, POLLERS_PER_SERVER } from '../../../domain/load';
import { ServiceKind } from '../../../domain/types';
import type { BackendServer, Configuration } from '../../../domain/types';
import type { Clock, ConfigurationView, EngineClient, LoadView } from '../../ports';

/** Time between two polls of a server; engines' reports lag by about as much. */
export const POLL_INTERVAL_MS = 500;

/** What the load poller needs. */
export interface LoadPollerDependencies {
  readonly engines: EngineClient;
  readonly configuration: ConfigurationView;
  readonly load: LoadView;
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
 * Each server is polled by two VMs, chosen by rendezvous hashing; the others hear of it in peers'
 * news. A server is asked again only after its answer came, so that a slow one is not piled upon.
 */
export function createLoadPoller(dependencies: LoadPollerDependencies): LoadPoller {
  const { engines, load, clock, vm } = dependencies;
  const busy = new Set<string>();
  const sequences = new Map<string, number>();
  let stopped = false;
  let cancelTimer = (): void => {};

  const pollEvents = async (server: BackendServer): Promise<void> => {
    const after = sequences.get(server.name) ?? 0;
    const events = await engines.listCacheEvents(server, after);
    if (stopped || events.isErr() || events.value.length === 0) return;
    sequences.set(server.name, events.value.at(-1)?.sequence ?? after);
    load.recordCacheEvents(server.name, events.value);
  };
  const pollServer = async (server: BackendServer): Promise<void> => {
    if (busy.has(server.name)) return;
    busy.add(server.name);
    const report = await engines.readLoad(server);
    if (!stopped && report.isOk()) {
      load.recordReport(report.value);
      await pollEvents(server);
    }
    busy.delete(server.name);
  };
  const pollAll = (): void => {
    if (stopped) return;
    const current = dependencies.configuration.readCurrent();
    if (current !== null) {
      const vms = dependencies.listLiveVms();
      listEngines(current.configuration, dependencies.region)
        .filter(({ name }) => choosePollers(name, vms, POLLERS_PER_SERVER).includes(vm))
        .forEach((server) => {
          pollServer(server);
        });
    }
    cancelTimer = clock.startTimer(POLL_INTERVAL_MS, pollAll);
  };

  pollAll();
  return {
    stop: () => {
      stopped = true;
      cancelTimer();
    },
  };
}
