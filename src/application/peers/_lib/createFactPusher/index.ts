import type { Fact } from '../../../../domain/membership';
import type { Clock } from '../../../ports';
import { runLimited } from '../runLimited';

/** Facts added within this time are sent in one push. */
export const PUSH_DELAY_MS = 3;
/** Concurrent calls of one push. */
const PUSH_CONCURRENCY = 16;

/** Dependencies of the fact pusher. */
export interface FactPusherDependencies {
  readonly clock: Clock;
  readonly listReceivers: () => readonly string[];
  readonly sendFacts: (vm: string, facts: readonly Fact[]) => Promise<void>;
}

/** Pushes urgent facts to all VMs of the region. */
export interface FactPusher {
  pushFact(fact: Fact): void;
  stop(): void;
}

/**
 * Creates the pusher of urgent facts.
 *
 * Without pushes a VM would learn of a dead engine only in its next rounds, and its generations on
 * that engine would hang until each of them detected the silence itself.
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
