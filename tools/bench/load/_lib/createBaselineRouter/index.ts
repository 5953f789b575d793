import { err, ok } from 'neverthrow';
import type {
  ConfigurationView,
  HealthRegistry,
  Randomness,
  Router,
} from '../../../../../src/application/ports';
import type { RouterLoadView } from '../../../../../src/application/routing';
import { findWorkClassPolicy } from '../../../../../src/domain/admission';
import { filterAllowedServers, filterBackendServers } from '../../../../../src/domain/routing';
import type { BackendServer } from '../../../../../src/domain/types';

/** Policies that the router is compared with. */
export const BaselineName = {
  Random: 'random',
  RoundRobin: 'round-robin',
  LeastReportedLoad: 'least-reported-load',
} as const;

/** One of the baselines. */
export type BaselineName = (typeof BaselineName)[keyof typeof BaselineName];

/** Dependencies of a baseline. */
export interface BaselineDependencies {
  readonly configuration: ConfigurationView;
  readonly health: HealthRegistry;
  readonly load: RouterLoadView;
  readonly randomness: Randomness;
}

type ServerSelector = (
  servers: readonly BackendServer[],
  turn: number,
) => BackendServer | undefined;

function createSelectors({
  load,
  randomness,
}: BaselineDependencies): Readonly<Record<BaselineName, ServerSelector>> {
  const readLoad = ({ name, slots }: BackendServer): number => {
    const report = load.findReport(name);
    return report === null ? 0 : (report.running + report.waiting) / slots;
  };
  return {
    random: (servers) => servers[Math.floor(randomness.readFraction() * servers.length)],
    'round-robin': (servers, turn) => servers[turn % servers.length],
    'least-reported-load': (servers) => {
      const least = Math.min(...servers.map(readLoad));
      const best = servers.filter((server) => readLoad(server) === least);
      return best[Math.floor(randomness.readFraction() * best.length)];
    },
  };
}

/**
 * Creates a baseline: a router with the same hard filter and engine priorities, but a simple rule
 * of choice and no admission control. Requests wait in the engines' own queues.
 */
export function createBaselineRouter(
  name: BaselineName,
  dependencies: BaselineDependencies,
): Router {
  const { configuration, health, load, randomness } = dependencies;
  const selectServer = createSelectors(dependencies)[name];
  // Each entry starts its round robin at another server, as load balancers do.
  let turn = Math.floor(randomness.readFraction() * 100);
  return {
    acquireSlot: async (demand) => {
      const current = configuration.readCurrent();
      const allowed =
        current && filterAllowedServers(current.configuration, demand.workspace, demand.service);
      if (!allowed?.isOk()) throw new Error('the bench configuration does not allow this service');
      const { servers, service } = allowed.value;
      const knowledge = { readHealth: health.readHealth, findReport: load.findReport };
      const { ready } = filterBackendServers(servers, service, demand.excludedServers, knowledge);
      turn += 1;
      const server = selectServer(ready, turn);
      if (server === undefined) {
        return err({ code: 'no_ready_server', message: 'none is ready', retryAfterMs: 1000 });
      }
      const priority = findWorkClassPolicy(demand.workClass).enginePriority;
      return ok({ server, priority, release: () => {} });
    },
  };
}
