import { BackendHealth } from '../../../../domain/types';
import type { Fact } from '../../../../domain/membership';
import type { HealthRegistry } from '../../../ports';
import type { FactStore } from '../createFactStore';

/** What the source needs. */
export interface HealthPublisherDependencies {
  readonly self: string;
  readonly factStore: FactStore;
  readonly health: HealthRegistry;
  /** True while a peer's facts are taken: changes made by them are not news of this VM. */
  readonly isMerging: () => boolean;
  readonly pushFact: (fact: Fact) => void;
}

type ChangeHandlers = Readonly<Record<BackendHealth, (backendServer: string) => void>>;

/**
 * Puts changes of health that this VM found out by itself on the board and pushes them.
 *
 * @returns a function that stops it
 */
export function createHealthPublisher(deps: HealthPublisherDependencies): () => void {
  const { self, factStore, health, pushFact } = deps;
  const addFact = (key: string, fact: Fact): void => {
    factStore.write(key, fact, self);
    pushFact(fact);
  };
  const addSuspicion = (backendServer: string): void => {
    const suspicion = health
      .listSuspicions()
      .find((candidate) => candidate.backendServer === backendServer);
    if (suspicion === undefined) return;
    addFact(`suspicion:${backendServer}`, { kind: 'suspicion', suspicion });
  };
  const removeSuspicion = (backendServer: string): void => {
    if (factStore.find(`suspicion:${backendServer}`) === null) return;
    factStore.remove(`suspicion:${backendServer}`);
    pushFact({ kind: 'recovery', backendServer });
  };
  const handlers: ChangeHandlers = {
    [BackendHealth.Suspected]: addSuspicion,
    [BackendHealth.Dead]: addSuspicion,
    [BackendHealth.Leaving]: (backendServer) => {
      removeSuspicion(backendServer);
      addFact(`leaving:${backendServer}`, { kind: 'leaving', backendServer });
    },
    [BackendHealth.Serving]: (backendServer) => {
      removeSuspicion(backendServer);
      factStore.remove(`leaving:${backendServer}`);
    },
  };
  return health.addListener((backendServer, state) => {
    if (!deps.isMerging()) handlers[state](backendServer);
  });
}
