import type { BackendServer, Configuration } from '../../../../../src/domain/types';
import type { DeploymentShape, ServerGroup } from '../../types';
import { listWorkspaces } from '../planArrivals';

/** Share of each server's slots that is reserved for lookups. */
export const LOOKUP_RESERVE = 0.1;

/** Time without a first token after which a caller of the bench gives up (in scaled time). */
export const TIMEOUTS_MS = { long: 8000, lookup: 3000 } as const;

const REGION = 'bench';

/** Lists the names of a group's servers, distributed round-robin over the zones. */
export function listGroupServers(
  group: ServerGroup,
  zones: readonly string[],
): readonly { readonly name: string; readonly zone: string }[] {
  return Array.from({ length: group.count }, (_, index) => ({
    name: `${group.prefix}-${index + 1}`,
    zone: zones[index % zones.length] ?? '',
  }));
}

/** Builds the configuration of the bench from the shape and the addresses of the engines. */
export function buildBenchConfiguration(
  shape: DeploymentShape,
  urls: ReadonlyMap<string, string>,
): Configuration {
  const services = [shape.longService, shape.lookupService];
  const backendServers: readonly BackendServer[] = [shape.long, shape.lookup].flatMap((group) =>
    listGroupServers(group, shape.zones).map(({ name, zone }) => ({
      name,
      url: urls.get(name) ?? '',
      region: REGION,
      availabilityZone: zone,
      services: group.services,
      slots: group.slots,
      checksFencing: true,
    })),
  );
  return {
    deployment: shape.name,
    survival: 'latency',
    places: [{ name: 'home', region: REGION, availabilityZones: shape.zones }],
    services: services.map((name) => ({
      name,
      kind: 'model',
      workClass: name === shape.longService ? 'long' : 'lookup',
      model: name,
      modelVersion: '',
      adapter: '',
      idempotent: true,
      timeoutMs: name === shape.longService ? TIMEOUTS_MS.long : TIMEOUTS_MS.lookup,
      maxOutputTokens: 256,
    })),
    backendServers,
    workspaces: listWorkspaces().map((name) => ({
      name,
      keyDigests: [],
      services,
      places: ['home'],
      weight: 1,
    })),
    placementRules: [],
    engineTargets: [],
    limits: {
      maxBodyBytes: 1_000_000,
      maxQueuedLong: 16,
      lookupReserve: LOOKUP_RESERVE,
      retryBudget: 0.1,
      drainMs: 1000,
      answerTtlMs: 1000,
      detachedMs: 1000,
    },
  };
}
