import { createHash } from 'node:crypto';
import { DEFAULT_LIMITS } from '../../../../../src/domain/configuration';
import {
  ServiceKind,
  SurvivalMode,
  WorkClass,
  type BackendServer,
  type Configuration,
  type Workspace,
} from '../../../../../src/domain/types';

/** Bearer key of the callers. */
export const BEARER_KEY = 'bench-key-callers';

/** Name of the service that the callers use. */
export const LOOKUP_SERVICE = 'status';

/** Region of all VMs, with its availability zones. */
export const REGION = 'bench';
export const ZONES = ['bench-a', 'bench-b', 'bench-c'] as const;

function buildWorkspace(name: string, key: string): Workspace {
  const digest = createHash('sha256').update(key).digest('hex');
  return {
    name,
    keyDigests: [digest],
    services: [LOOKUP_SERVICE],
    places: ['everywhere'],
    weight: 1,
  };
}

/**
 * Builds the first configuration: one workspace of callers, and one that each operator changes.
 *
 * @param operators - names of the operators
 * @param urls - base URLs of the stand-in engines
 */
export function buildBenchConfiguration(
  operators: readonly string[],
  urls: readonly string[],
): Configuration {
  const backendServers = urls.map((url, index): BackendServer => ({
    name: `engine-${index + 1}`,
    url,
    region: REGION,
    availabilityZone: ZONES[index % ZONES.length] ?? '',
    services: [LOOKUP_SERVICE],
    slots: 64,
    checksFencing: true,
  }));
  return {
    deployment: 'bench',
    survival: SurvivalMode.Latency,
    places: [{ name: 'everywhere', region: REGION, availabilityZones: ZONES }],
    services: [
      {
        name: LOOKUP_SERVICE,
        kind: ServiceKind.Model,
        workClass: WorkClass.Lookup,
        model: 'review',
        modelVersion: '',
        adapter: '',
        idempotent: true,
        timeoutMs: 5_000,
        maxOutputTokens: 8,
      },
    ],
    backendServers,
    workspaces: [
      buildWorkspace('callers', BEARER_KEY),
      ...operators.map((name) => buildWorkspace(name, `bench-key-${name}`)),
    ],
    placementRules: [],
    engineTargets: [],
    limits: DEFAULT_LIMITS,
  };
}
