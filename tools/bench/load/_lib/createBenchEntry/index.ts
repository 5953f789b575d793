import type {
  Clock,
  ConfigurationView,
  DecisionLog,
  EngineClient,
  HealthRegistry,
  Router,
} from '../../../../../src/application/ports';
import { createHealthRegistry } from '../../../../../src/application/health';
import {
  createLoadPoller,
  createLoadView,
  createRouter,
} from '../../../../../src/application/routing';
import type { LoadPoller, RouterLoadView } from '../../../../../src/application/routing';
import type { VersionedConfiguration } from '../../../../../src/domain/types';
import { createBaselineRouter } from '../createBaselineRouter';
import type { BaselineName } from '../createBaselineRouter';
import { createDelayedEngines } from '../createDelayedEngines';
import { createSeededRandomness } from '../createSeededRandomness';

/** Name of the policy under test among the baselines. */
export const OWN_POLICY = 'jackdawmount';

/** A policy of the bench. */
export type PolicyName = typeof OWN_POLICY | BaselineName;

/** The parts of an entry VM that the bench needs: router, load and health over real engines. */
export interface BenchEntry {
  readonly vm: string;
  readonly zone: string;
  readonly engines: EngineClient;
  readonly health: HealthRegistry;
  readonly load: RouterLoadView;
  readonly router: Router;
  readonly poller: LoadPoller;
  /** Time without a first token after which a lookup is hedged; null for no hedge. */
  readonly estimateHedgeDelayMs: (service: string) => number | null;
}

/** Dependencies of an entry of the bench. */
export interface BenchEntryDependencies {
  readonly vm: string;
  readonly vms: readonly string[];
  readonly zone: string;
  readonly seed: number;
  readonly policy: PolicyName;
  readonly current: VersionedConfiguration;
  readonly engines: EngineClient;
  readonly zoneRoundTripMs: number;
  readonly clock: Clock;
}

const NO_DECISIONS: DecisionLog = { record: () => {}, listDecisions: () => [] };

/** Creates an entry with the given policy. */
export function createBenchEntry(dependencies: BenchEntryDependencies): BenchEntry {
  const { vm, zone, clock, policy, current } = dependencies;
  const engines = createDelayedEngines(dependencies.engines, zone, dependencies.zoneRoundTripMs);
  const configuration: ConfigurationView = {
    readCurrent: () => current,
    addListener: () => () => {},
  };
  const health = createHealthRegistry({ vm });
  const load = createLoadView({ clock });
  const randomness = createSeededRandomness(dependencies.seed);
  const parts = { configuration, health, load, randomness, clock, decisions: NO_DECISIONS };
  const own = policy === OWN_POLICY ? createRouter(parts) : null;
  return {
    vm,
    zone,
    engines,
    health,
    load,
    router: own ?? createBaselineRouter(policy as BaselineName, parts),
    poller: createLoadPoller({
      engines,
      configuration,
      load,
      clock,
      vm,
      region: current.configuration.places[0]?.region ?? '',
      listLiveVms: () => dependencies.vms,
    }),
    estimateHedgeDelayMs: (service) => own?.estimateHedgeDelayMs(service) ?? null,
  };
}
