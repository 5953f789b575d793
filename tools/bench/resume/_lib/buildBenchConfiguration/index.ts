import { computeKeyDigest } from '../../../../../src/domain/access';
import { DEFAULT_LIMITS } from '../../../../../src/domain/configuration';
import {
  ServiceKind,
  WorkClass,
  type Configuration,
  type SurvivalMode,
} from '../../../../../src/domain/types';

/** Bearer key of the bench's workspace. */
export const BENCH_KEY = 'bench-key';

/** Service that the bench's callers ask for. */
export const BENCH_SERVICE = 'review';

/** Model of that service. */
export const BENCH_MODEL = 'review-large';

const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const ENGINES_PER_ZONE = 3;
const SLOTS = 12;
const REGION = 'region';

const buildServer = (availabilityZone: string, index: number) => ({
  name: `${availabilityZone}-engine-${index + 1}`,
  url: 'http://127.0.0.1:1',
  region: REGION,
  availabilityZone,
  services: [BENCH_SERVICE],
  slots: SLOTS,
  checksFencing: true,
});

/**
 * Builds the bench's configuration: three zones of three engines, one workspace.
 *
 * The retry budget is 1: each round breaks up to a third of the running generations, far more than
 * a deployment's retry budget allows, and the bench measures resumes, not refusals.
 */
export function buildBenchConfiguration(survival: SurvivalMode): Configuration {
  return {
    deployment: 'bench',
    survival,
    places: [{ name: 'place', region: REGION, availabilityZones: ZONES }],
    services: [
      {
        name: BENCH_SERVICE,
        kind: ServiceKind.Model,
        workClass: WorkClass.Long,
        model: BENCH_MODEL,
        modelVersion: '1',
        adapter: '',
        idempotent: true,
        timeoutMs: 60_000,
        maxOutputTokens: 1000,
      },
    ],
    backendServers: ZONES.flatMap((zone) =>
      Array.from({ length: ENGINES_PER_ZONE }, (_, index) => buildServer(zone, index)),
    ),
    workspaces: [
      {
        name: 'bench',
        keyDigests: [computeKeyDigest(BENCH_KEY)],
        services: [BENCH_SERVICE],
        places: ['place'],
        weight: 1,
      },
    ],
    placementRules: [],
    engineTargets: [],
    limits: { ...DEFAULT_LIMITS, retryBudget: 1 },
  };
}
