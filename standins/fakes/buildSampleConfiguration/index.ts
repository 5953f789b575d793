import { DEFAULT_LIMITS } from '../../../src/domain/configuration';
import {
  ServiceKind,
  SurvivalMode,
  WorkClass,
  type Configuration,
} from '../../../src/domain/types';

/**
 * Builds a small whole configuration for tests: one place, model service, server and workspace.
 *
 * @param change - parts that the test sets itself
 */
export function buildSampleConfiguration(change: Partial<Configuration> = {}): Configuration {
  return {
    deployment: 'sample',
    survival: SurvivalMode.Latency,
    places: [{ name: 'north', region: 'r', availabilityZones: ['z1'] }],
    services: [
      {
        name: 'review',
        kind: ServiceKind.Model,
        workClass: WorkClass.Long,
        model: 'review',
        modelVersion: '',
        adapter: '',
        idempotent: true,
        timeoutMs: 60_000,
        maxOutputTokens: 100,
      },
    ],
    backendServers: [
      {
        name: 'engine',
        url: 'http://127.0.0.1:9000',
        region: 'r',
        availabilityZone: 'z1',
        services: ['review'],
        slots: 4,
        checksFencing: false,
      },
    ],
    workspaces: [
      {
        name: 'alpha',
        keyDigests: ['a'.repeat(64)],
        services: ['review'],
        places: ['north'],
        weight: 1,
      },
    ],
    placementRules: [],
    engineTargets: [],
    limits: DEFAULT_LIMITS,
    ...change,
  };
}
