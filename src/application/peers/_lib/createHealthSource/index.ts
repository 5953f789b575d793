import { BackendHealth } from '../../../../domain/types';
import type { Fact } from '../../../../domain/membership';
import type { HealthRegistry } from '../../../ports';
import type { FactBoard } from '../createFactBoard';

/** What the source needs. */
export interface HealthSourceDependencies {
  readonly self: string;
  readonly board: FactBoard;
  readonly health: HealthRegistry;
  /** True while a peer's facts are taken: changes made by them are not news of this VM. */
  readonly isTaking: () => boolean;
  readonly sendSoon: (fact: Fact) => void;
}

type ChangeHandlers = Readonly<Record<BackendHealth, (backendServer: string) => void>>;

/**
 * Puts changes of health that this VM found out by itself on the board and pushes them.
 *
 * @returns a function that stops it
 */
export function createHealthSource(deps: HealthSourceDependencies): () => void {
  const { self, board, health, sendSoon } = deps;
  const addFact = (key: string, fact: Fact): void => {
    board.write(key, fact, self);
    sendSoon(fact);
  };
  const addSuspicion = (backendServer: string): void => {
    const suspicion = health
      .listSuspicions()
      .find((candidate) => candidate.backendServer === backendServer);
    if (suspicion === undefined) return;
    addFact(`suspicion:${backendServer}`, { kind: 'suspicion', suspicion });
  };
  const removeSuspicion = (backendServer: string): void => {
    if (board.find(`suspicion:${backendServer}`) === null) return;
    board.remove(`suspicion:${backendServer}`);
    sendSoon({ kind: 'recovery', backendServer });
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
      board.remove(`leaving:${backendServer}`);
    },
  };
  return health.addListener((backendServer, state) => {
    if (!deps.isTaking()) handlers[state](backendServer);
  });
}
