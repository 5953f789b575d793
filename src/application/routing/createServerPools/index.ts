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

/** What the server pools need. */
export interface ServerPoolsDependencies {
  readonly health: HealthRegistry;
  readonly load: RouterLoadView;
  readonly quality: Pick<QualityTracker, 'isEjected' | 'readSpeedEstimate'>;
}

/** Servers by workspace and service, worked out once and kept until something changes. */
export interface ServerPools {
  /** The allowed servers, worked out once for each configuration version. */
  findPool(
    current: VersionedConfiguration,
    workspace: string,
    service: string,
  ): Result<ServerPool, Refusal>;
  /** The ready ones of a pool, worked out once until a health, report or ejection changes. */
  readReadyPool(pool: ServerPool): ReadyPool;
  /** Notes that health or ejections have changed. */
  invalidateReadyPools(): void;
}

interface CachedReady {
  readonly epoch: number;
  readonly ready: ReadyPool;
}

/** Names the group of servers that are comparable: they serve the same services. */
function buildGroupName({ services }: BackendServer): string {
  return services.join('\n');
}

/** Builds the room of a server; without lookups to serve, no slot is kept for them. */
function buildRoom(
  server: BackendServer,
  reportedSlots: number,
  lookupServices: ReadonlySet<string>,
  lookupReserve: number,
): ServerSlots {
  const slots = reportedSlots > 0 ? Math.min(server.slots, reportedSlots) : server.slots;
  const servesLookups = server.services.some((service) => lookupServices.has(service));
  return { slots, reservedSlots: servesLookups ? Math.ceil(slots * lookupReserve) : 0 };
}

/** Builds the limits of each class of work. */
function buildLimits(room: ServerSlots): Readonly<Record<WorkClass, number>> {
  return {
    lookup: findWorkClassPolicy(WorkClass.Lookup).computeLimit(room),
    long: findWorkClassPolicy(WorkClass.Long).computeLimit(room),
    plain: findWorkClassPolicy(WorkClass.Plain).computeLimit(room),
  };
}

/** Creates the pools; a decision then only looks at the servers that are left. */
export function createServerPools(dependencies: ServerPoolsDependencies): ServerPools {
  const { health, load, quality } = dependencies;
  const knowledge = { readHealth: health.readHealth, findReport: load.findReport };
  let version = 0;
  let changes = 0;
  let lookupServices: ReadonlySet<string> = new Set();
  const pools = new Map<string, Result<ServerPool, Refusal>>();
  const readies = new Map<ServerPool, CachedReady>();

  const applyVersion = (current: VersionedConfiguration): void => {
    version = current.version;
    pools.clear();
    readies.clear();
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
  const buildReady = ({ allowed, limits }: ServerPool): ReadyPool => {
    const hard = filterBackendServers(allowed.servers, allowed.service, [], knowledge);
    const good = hard.ready.filter(({ name }) => !quality.isEjected(name));
    // Ejection is a preference: with nothing else left, a bad server beats a refusal.
    const servers = good.length > 0 ? good : hard.ready;
    const groups = [...new Set(servers.map(buildGroupName))];
    const zones = [...new Set(servers.map(({ availabilityZone }) => availabilityZone))];
    const ejected = hard.ready.filter((server) => !servers.includes(server));
    const listed = servers.map((server): ReadyServer => {
      const reported = load.findReport(server.name)?.slots ?? 0;
      const room = buildRoom(server, reported, lookupServices, limits.lookupReserve);
      return {
        server,
        capacity: room,
        group: buildGroupName(server),
        groupIndex: groups.indexOf(buildGroupName(server)),
        zoneIndex: zones.indexOf(server.availabilityZone),
        requestLimits: buildLimits(room),
        runningEstimate: load.readRunningEstimate(server.name),
        speedEstimate: quality.readSpeedEstimate(server.name),
      };
    });
    return {
      servers: listed,
      positions: new Map(listed.map(({ server }, index) => [server.name, index])),
      slots: listed.reduce((sum, { capacity }) => sum + capacity.slots, 0),
      groups,
      zones,
      candidates: servers.map(({ name }) => name),
      filtered: [
        ...allowed.filtered,
        ...hard.filtered,
        ...ejected.map(({ name }) => ({ backendServer: name, reason: 'ejected-as-outlier' })),
      ],
    };
  };

  return {
    findPool: (current, workspace, service) => {
      if (current.version !== version) applyVersion(current);
      const key = `${workspace}\n${service}`;
      const pool = pools.get(key) ?? buildPool(current, workspace, service);
      // Refusals are not kept: callers could fill the memory with names that do not exist.
      if (pool.isOk()) pools.set(key, pool);
      return pool;
    },
    readReadyPool: (pool) => {
      const epoch = changes + load.readReadinessEpoch();
      const cached = readies.get(pool);
      if (cached?.epoch === epoch) return cached.ready;
      const ready = buildReady(pool);
      if (pool.version === version) readies.set(pool, { epoch, ready });
      return ready;
    },
    invalidateReadyPools: () => {
      changes += 1;
    },
  };
}
