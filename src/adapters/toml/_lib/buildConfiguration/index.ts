import { sortByName } from '../../../../domain/configuration';
import {
  ServiceKind,
  WorkClass,
  type Configuration,
  type EngineTarget,
  type Limits,
  type Service,
} from '../../../../domain/types';
import type { ConfigurationDocument } from '../configurationSchema';

/** Default deadline to the first token or byte, by work class; a lookup's caller waits seconds. */
const DEFAULT_TIMEOUT_MS = {
  [WorkClass.Lookup]: 5_000,
  [WorkClass.Long]: 600_000,
  [WorkClass.Plain]: 30_000,
} as const;

/** Default output limit by work class: a status line for a lookup, a long review for long work. */
const DEFAULT_MAX_OUTPUT_TOKENS = {
  [WorkClass.Lookup]: 256,
  [WorkClass.Long]: 16_384,
  [WorkClass.Plain]: 0,
} as const;

function listWithNames<Value>(record: Readonly<Record<string, Value>>): readonly (Value & Named)[] {
  return sortByName(Object.entries(record).map(([name, value]) => ({ name, ...value })));
}

interface Named {
  readonly name: string;
}

function buildService(written: ConfigurationDocument['services'][string] & Named): Service {
  const isModel = written.kind === ServiceKind.Model;
  const workClass = written.work_class ?? (isModel ? WorkClass.Long : WorkClass.Plain);
  return {
    name: written.name,
    kind: written.kind,
    workClass,
    model: written.model ?? (isModel ? written.name : ''),
    modelVersion: written.model_version,
    adapter: written.adapter,
    // A call of a plain service may have side effects, so by default it runs at most once.
    idempotent: written.idempotent ?? isModel,
    timeoutMs: written.timeout_ms ?? DEFAULT_TIMEOUT_MS[workClass],
    maxOutputTokens: written.max_output_tokens ?? DEFAULT_MAX_OUTPUT_TOKENS[workClass],
  };
}

function listEngineTargets(
  targets: ConfigurationDocument['engine_targets'],
): readonly EngineTarget[] {
  return Object.values(targets)
    .flatMap(({ backend_servers: servers, models, role }) =>
      servers.map((backendServer) => ({ backendServer, models, role })),
    )
    .toSorted((first, second) => (first.backendServer < second.backendServer ? -1 : 1));
}

function buildLimits(written: ConfigurationDocument['limits']): Limits {
  return {
    maxBodyBytes: written.max_body_bytes,
    maxQueuedLong: written.max_queued_long,
    lookupReserve: written.lookup_reserve,
    retryBudget: written.retry_budget,
    drainMs: written.drain_ms,
    answerTtlMs: written.answer_ttl_ms,
    detachedMs: written.detached_ms,
  };
}

/** Builds the domain's configuration from a validated document. */
export function buildConfiguration(document: ConfigurationDocument): Configuration {
  return {
    deployment: document.deployment.name,
    survival: document.deployment.survival,
    places: listWithNames(document.places).map(({ name, region, availability_zones: zones }) => ({
      name,
      region,
      availabilityZones: zones,
    })),
    services: listWithNames(document.services).map(buildService),
    backendServers: listWithNames(document.backend_servers).map((written) => ({
      name: written.name,
      url: written.url,
      region: written.region,
      availabilityZone: written.availability_zone,
      services: written.services,
      slots: written.slots,
      checksFencing: written.checks_fencing,
    })),
    workspaces: listWithNames(document.workspaces).map((written) => ({
      name: written.name,
      keyDigests: written.key_digests,
      services: written.services,
      places: written.places,
      weight: written.weight,
    })),
    placementRules: listWithNames(document.placement_rules),
    engineTargets: listEngineTargets(document.engine_targets),
    limits: buildLimits(document.limits),
  };
}
