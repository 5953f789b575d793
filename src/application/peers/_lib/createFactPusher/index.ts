import type { Fact } from '../../../../domain/membership';
import type { Clock } from '../../../ports';
import { runLimited } from '../runLimited';

/** Time in which facts that come together are gathered into one push. */
export const PUSH_DELAY_MS = 3;
/** Calls of one push that run at once. */
const PUSH_CONCURRENCY = 16;

/** What the pusher needs. */
export interface FactPusherDependencies {
  readonly clock: Clock;
  readonly listReceivers: () => readonly string[];
  readonly sendFacts: (vm: string, facts: readonly Fact[]) => Promise<void>;
}

/** Sends urgent facts to all VMs of the region at once. */
export interface FactPusher {
  pushFact(fact: Fact): void;
  stop(): void;
}

/**
 * Creates the pusher of urgent facts.
 *
 * Without it a VM would hear of a dead engine only with its next rounds, and the generations there
 * would hang on until each of them saw the silence for itself.
 */
export function createFactPusher(deps: FactPusherDependencies): FactPusher {
  let pending: Fact[] = [];
  let cancelTimer = (): void => {};

  const sendPending = (): void => {
    const facts = pending;
    pending = [];
    runLimited(deps.listReceivers(), PUSH_CONCURRENCY, (vm) => deps.sendFacts(vm, facts));
  };

  return {
    pushFact: (fact) => {
      pending.push(fact);
      if (pending.length === 1) cancelTimer = deps.clock.startTimer(PUSH_DELAY_MS, sendPending);
    },
    stop: () => cancelTimer(),
  };
}
