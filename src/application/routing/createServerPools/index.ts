import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { findWorkClassPolicy } from '../../../domain/admission';
import type { ServerSlots } from '../../../domain/admission';
import { filterAllowedServers, filterBackendServers } from '../../../domain/routing';
import { WorkClass } from '../../../domain/types';
import type { BackendServer, Refusal, VersionedConfiguration } from '../../../domain/types';
import type { HealthRegistry } from '../../ports';
import type { QualityTracker } from '../createQualityTracker';
import type { ReadyPool, ReadyServer, RouterLoadView, ServerPool } from '../types';

/** Dependencies of the server pools. */
export interface ServerPoolsDependencies {
  readonly health: HealthRegistry;
  readonly load: RouterLoadView;
  readonly quality: Pick<QualityTracker, 'isEjected' | 'readSpeedEstimate'>;
}

/** Caches the servers of each workspace and service until something changes. */
export interface ServerPools {
  /** Finds the allowed servers; computed once per configuration version. */
  findPool(
    current: VersionedConfiguration,
    workspace: string,
    service: string,
  ): Result<ServerPool, Refusal>;
  /** Reads the ready servers of a pool; rebuilt after a change of health, report or ejection. */
  readReadyPool(pool: ServerPool): ReadyPool;
  /** Invalidates the ready pools after a change of health or ejections. */
  invalidateReadyPools(): void;
}

interface CachedReadyPool {
  readonly epoch: number;
  readonly ready: ReadyPool;
}

/** Builds the name of a group of comparable servers: those that serve the same services. */
function buildGroupName({ services }: BackendServer): string {
  return services.join('\n');
}

/** Builds the capacity of a server; slots are reserved for lookups only if it serves any. */
function buildCapacity(
  server: BackendServer,
  reportedSlots: number,
  lookupServices: ReadonlySet<string>,
  lookupReserve: number,
): ServerSlots {
  const slots = reportedSlots > 0 ? Math.min(server.slots, reportedSlots) : server.slots;
  const servesLookups = server.services.some((service) => lookupServices.has(service));
  return { slots, reservedSlots: servesLookups ? Math.ceil(slots * lookupReserve) : 0 };
}

/** Builds the limit of requests at the server for each class of work. */
function buildRequestLimits(capacity: ServerSlots): Readonly<Record<WorkClass, number>> {
  return {
    lookup: findWorkClassPolicy(WorkClass.Lookup).computeLimit(capacity),
    long: findWorkClassPolicy(WorkClass.Long).computeLimit(capacity),
    plain: findWorkClassPolicy(WorkClass.Plain).computeLimit(capacity),
  };
}

/** Creates the server pools, which save each decision from filtering all servers. */
export function createServerPools(dependencies: ServerPoolsDependencies): ServerPools {
  const { health, load, quality } = dependencies;
  const serverState = { readHealth: health.readHealth, findReport: load.findReport };
  let version = 0;
  let invalidations = 0;
  let lookupServices: ReadonlySet<string> = new Set();
  const pools = new Map<string, Result<ServerPool, Refusal>>();
  const readyPools = new Map<ServerPool, CachedReadyPool>();

  const applyVersion = (current: VersionedConfiguration): void => {
    version = current.version;
    pools.clear();
    readyPools.clear();
    lookupServices = new Set(
      current.configuration.services
        .filter(({ workClass }) => workClass === WorkClass.Lookup)
        .map(({ name }) => name),
    );
  };
  const buildPool = (
    { configuration }: VersionedConfiguration,
    workspace: string,
    service: string,
  ): Result<ServerPool, Refusal> => {
    const allowed = filterAllowedServers(configuration, workspace, service);
    if (allowed.isErr()) return err(allowed.error);
    const weights = configuration.workspaces.map(({ weight }) => weight);
    const mean = weights.reduce((sum, weight) => sum + weight, 0) / weights.length;
    const weight = configuration.workspaces.find(({ name }) => name === workspace)?.weight ?? mean;
    return ok({
      version,
      limits: configuration.limits,
      allowed: allowed.value,
      placesKey: allowed.value.places.join('\n'),
      weight,
      relativeWeight: weight / mean,
    });
  };
  const buildReadyPool = ({ allowed, limits }: ServerPool): ReadyPool => {
    const usable = filterBackendServers(allowed.servers, allowed.service, [], serverState);
    const notEjected = usable.ready.filter(({ name }) => !quality.isEjected(name));
    // If all usable servers are ejected, they are used anyway: better a poor server than a refusal.
    const servers = notEjected.length > 0 ? notEjected : usable.ready;
    const groups = [...new Set(servers.map(buildGroupName))];
    const zones = [...new Set(servers.map(({ availabilityZone }) => availabilityZone))];
    const ejected = usable.ready.filter((server) => !servers.includes(server));
    const readyServers = servers.map((server): ReadyServer => {
      const reportedSlots = load.findReport(server.name)?.slots ?? 0;
      const capacity = buildCapacity(server, reportedSlots, lookupServices, limits.lookupReserve);
      return {
        server,
        capacity,
        group: buildGroupName(server),
        groupIndex: groups.indexOf(buildGroupName(server)),
        zoneIndex: zones.indexOf(server.availabilityZone),
        requestLimits: buildRequestLimits(capacity),
        runningEstimate: load.readRunningEstimate(server.name),
        speedEstimate: quality.readSpeedEstimate(server.name),
      };
    });
    return {
      servers: readyServers,
      positions: new Map(readyServers.map(({ server }, index) => [server.name, index])),
      slots: readyServers.reduce((sum, { capacity }) => sum + capacity.slots, 0),
      groups,
      zones,
      candidates: servers.map(({ name }) => name),
      filtered: [
        ...allowed.filtered,
        ...usable.filtered,
        ...ejected.map(({ name }) => ({ backendServer: name, reason: 'ejected-as-outlier' })),
      ],
    };
  };

  return {
    findPool: (current, workspace, service) => {
      if (current.version !== version) applyVersion(current);
      const key = `${workspace}\n${service}`;
      const pool = pools.get(key) ?? buildPool(current, workspace, service);
      // Refusals are not cached: callers could fill the memory with names that do not exist.
      if (pool.isOk()) pools.set(key, pool);
      return pool;
    },
    readReadyPool: (pool) => {
      const epoch = invalidations + load.readReadinessEpoch();
      const cached = readyPools.get(pool);
      if (cached?.epoch === epoch) return cached.ready;
      const ready = buildReadyPool(pool);
      if (pool.version === version) readyPools.set(pool, { epoch, ready });
      return ready;
    },
    invalidateReadyPools: () => {
      invalidations += 1;
    },
  };
}
