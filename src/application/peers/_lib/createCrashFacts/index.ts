import type { SharedOutcome } from '../../../../domain/crashes';
import type { CrashFact, Fact } from '../../../../domain/membership';
import type { FactStore } from '../createFactStore';

/** Dependencies of the crash facts. */
export interface CrashFactsDependencies {
  readonly self: string;
  readonly factStore: Pick<FactStore, 'remove' | 'write'>;
  readonly pushFact: (fact: Fact) => void;
  /** Merges an outcome of another VM; returns false if it is known. Null: none are kept here. */
  readonly mergeOutcome: ((outcome: SharedOutcome) => boolean) | null;
}

/** Exchanges outcomes of requests that crash engines. */
export interface CrashFacts {
  /** Tells the region of an outcome that this VM observed. */
  publishOutcome(outcome: SharedOutcome): void;
  mergeFact(fact: CrashFact, from: string): void;
}

/** Outcomes that are passed on to VMs that start later. */
const MAX_FACTS = 200;

/** Creates the exchange of outcomes, without any known one. */
export const createCrashFacts = ({
  factStore,
  mergeOutcome,
  pushFact,
  self,
}: CrashFactsDependencies): CrashFacts => {
  const keys = new Set<string>();

  const keep = (fact: CrashFact, from: string): void => {
    const { fingerprint, hasCrashed, server } = fact;
    const key = `crash:${fingerprint} ${server} ${hasCrashed}`;
    keys.delete(key);
    keys.add(key);
    factStore.write(key, fact, from);
    const [oldest] = keys;
    if (keys.size <= MAX_FACTS || oldest === undefined) return;
    keys.delete(oldest);
    factStore.remove(oldest);
  };

  return {
    publishOutcome: (outcome) => {
      const fact: CrashFact = { kind: 'crash', ...outcome };
      keep(fact, self);
      pushFact(fact);
    },
    mergeFact: (fact, from) => {
      const { kind, ...outcome } = fact;
      if (mergeOutcome?.(outcome)) keep({ kind, ...outcome }, from);
    },
  };
};
