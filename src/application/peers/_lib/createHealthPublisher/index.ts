import { BackendHealth } from '../../../../domain/types';
import type { Fact } from '../../../../domain/membership';
import type { HealthRegistry } from '../../../ports';
import type { FactStore } from '../createFactStore';

/** Dependencies of the health publisher. */
export interface HealthPublisherDependencies {
  readonly self: string;
  readonly factStore: FactStore;
  readonly health: HealthRegistry;
  /** Whether a peer's facts are being merged, whose changes must not be published again. */
  readonly isMerging: () => boolean;
  readonly pushFact: (fact: Fact) => void;
}

type ChangeHandlers = Readonly<Record<BackendHealth, (backendServer: string) => void>>;

/**
 * Publishes health changes that this VM detected itself: writes them to the fact store and pushes
 * them to the region.
 *
 * @returns a function that stops the publisher
 */
export function createHealthPublisher(deps: HealthPublisherDependencies): () => void {
  const { self, factStore, health, pushFact } = deps;
  const publishFact = (key: string, fact: Fact): void => {
    factStore.write(key, fact, self);
    pushFact(fact);
  };
  const publishSuspicion = (backendServer: string): void => {
    const suspicion = health
      .listSuspicions()
      .find((candidate) => candidate.backendServer === backendServer);
    if (suspicion === undefined) return;
    publishFact(`suspicion:${backendServer}`, { kind: 'suspicion', suspicion });
  };
  const publishRecovery = (backendServer: string): void => {
    if (factStore.find(`suspicion:${backendServer}`) === null) return;
    factStore.remove(`suspicion:${backendServer}`);
    pushFact({ kind: 'recovery', backendServer });
  };
  const handlers: ChangeHandlers = {
    [BackendHealth.Suspected]: publishSuspicion,
    [BackendHealth.Dead]: publishSuspicion,
    [BackendHealth.Leaving]: (backendServer) => {
      publishRecovery(backendServer);
      publishFact(`leaving:${backendServer}`, { kind: 'leaving', backendServer });
    },
    [BackendHealth.Serving]: (backendServer) => {
      publishRecovery(backendServer);
      factStore.remove(`leaving:${backendServer}`);
    },
  };
  return health.addListener((backendServer, state) => {
    if (!deps.isMerging()) handlers[state](backendServer);
  });
}
