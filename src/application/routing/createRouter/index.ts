import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { filterAllowedServers, filterBackendServers } from '../../../domain/routing';
import type { AllowedServers, ReadyServers } from '../../../domain/routing';
import { RefusalCode, WorkClass } from '../../../domain/types';
import type {
  BackendServer,
  Demand,
  Refusal,
  RoutingDecision,
  VersionedConfiguration,
} from '../../../domain/types';
import type {
  Clock,
  ConfigurationView,
  DecisionLog,
  HealthRegistry,
  Randomness,
  Router,
  Slot,
} from '../../ports';
import type { RoutingLoad } from '../types';

/** What the router needs. */
export interface RouterDependencies {
  readonly configuration: ConfigurationView;
  readonly health: HealthRegistry;
  readonly load: RoutingLoad;
  readonly decisions: DecisionLog;
  readonly clock: Clock;
  readonly randomness: Randomness;
  /** Availability zone of this VM. */
  readonly availabilityZone: string;
}

/** Priority of each class of work at the engines; higher first. */
const ENGINE_PRIORITIES: Readonly<Record<WorkClass, number>> = {
  [WorkClass.Lookup]: 100,
  [WorkClass.Plain]: 50,
  [WorkClass.Long]: 10,
};

const NOT_READY_RETRY_MS = 1000;

function createSlot(server: BackendServer, priority: number, load: RoutingLoad): Slot {
  let released = false;
  load.recordSend(server.name);
  return {
    server,
    priority,
    release: () => {
      if (released) return;
      released = true;
      load.recordEnd(server.name);
    },
  };
}

/** Creates the router of this VM. */
export function createRouter(dependencies: RouterDependencies): Router {
  const { configuration, load, decisions, health } = dependencies;
  const knowledge = { readHealth: health.readHealth, findReport: load.findReport };

  const record = (
    demand: Demand,
    version: number,
    servers: { readonly allowed: AllowedServers | null; readonly ready: ReadyServers | null },
    outcome: Pick<RoutingDecision, 'kind' | 'choice' | 'reason'>,
  ): void =>
    decisions.record({
      ...outcome,
      requestId: demand.requestId,
      workspace: demand.workspace,
      service: demand.service,
      candidates: servers.ready?.ready.map(({ name }) => name) ?? [],
      filtered: [...(servers.allowed?.filtered ?? []), ...(servers.ready?.filtered ?? [])],
      configurationVersion: version,
    });

  const decide = (
    demand: Demand,
    { version, configuration: current }: VersionedConfiguration,
  ): Result<Slot, Refusal> => {
    const allowed = filterAllowedServers(current, demand.workspace, demand.service);
    if (allowed.isErr()) {
      const { code: reason } = allowed.error;
      record(
        demand,
        version,
        { allowed: null, ready: null },
        { kind: 'refuse', choice: '', reason },
      );
      return err(allowed.error);
    }
    const { servers, service } = allowed.value;
    const ready = filterBackendServers(servers, service, demand.excludedServers, knowledge);
    const known = { allowed: allowed.value, ready };
    const chosen = ready.ready.reduce<BackendServer | null>((best, server) => {
      const running = load.estimateRunning(server.name);
      if (running >= server.slots) return best;
      return best !== null && load.estimateRunning(best.name) <= running ? best : server;
    }, null);
    if (chosen === null) {
      const code = ready.ready.length === 0 ? RefusalCode.NoReadyServer : RefusalCode.QueueFull;
      record(demand, version, known, { kind: 'refuse', choice: '', reason: code });
      const message = `no backend server can take service "${service.name}" now`;
      return err({ code, message, retryAfterMs: NOT_READY_RETRY_MS });
    }
    const outcome = { kind: 'route', choice: chosen.name, reason: 'least-loaded' } as const;
    record(demand, version, known, outcome);
    return ok(createSlot(chosen, ENGINE_PRIORITIES[demand.workClass], load));
  };

  return {
    acquireSlot: async (demand) => {
      const current = configuration.readCurrent();
      if (current !== null) return decide(demand, current);
      return err({
        code: RefusalCode.NoReadyServer,
        message: 'no configuration has been read yet',
        retryAfterMs: NOT_READY_RETRY_MS,
      });
    },
  };
}
