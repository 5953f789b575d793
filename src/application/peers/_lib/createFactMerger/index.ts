import {
  computeIncarnationTag,
  computeNameId,
  convertFactsToReport,
} from '../../../../domain/membership';
import type { Fact, LoadFact, ServerStateFact } from '../../../../domain/membership';
import { isNewerReport } from '../../../../domain/load';
import type { HealthRegistry, LoadView } from '../../../ports';
import type { CrashFacts } from '../createCrashFacts';
import type { FactStore } from '../createFactStore';
import type { MemberTable } from '../createMemberTable';

/** Dependencies of the fact merger. */
export interface FactMergerDependencies {
  readonly self: string;
  readonly factStore: FactStore;
  readonly members: MemberTable;
  readonly health: HealthRegistry | null;
  readonly load: LoadView | null;
  readonly readNowMs: () => number;
  readonly mergeCrash: CrashFacts['mergeFact'];
}

/** The VM that sent facts, and a lower bound on the time at which they were written. */
export interface FactOrigin {
  readonly vm: string;
  /** Monotonic time after which the news was certainly written, or null if unknown. */
  readonly writtenAfterMs: number | null;
}

/** Merges facts received from peers. */
export interface FactMerger {
  mergeFacts(facts: readonly Fact[], origin: FactOrigin): void;
  /** Finds the server with this name id; null if unknown or if two names share the id. */
  findServerName(id: number): string | null;
  /** Adds a server's name, so that facts carrying its id can be resolved. */
  addServerName(backendServer: string): void;
}

type Handlers = {
  readonly [Kind in Fact['kind']]: (
    fact: Extract<Fact, { kind: Kind }>,
    origin: FactOrigin,
  ) => void;
};

/**
 * Creates the merger of peers' facts. New facts are forwarded to the ports and written to the fact
 * store, from which they are relayed; old facts change nothing.
 */
export function createFactMerger(deps: FactMergerDependencies): FactMerger {
  const { factStore, members, health, load, mergeCrash, readNowMs } = deps;
  const serverNames = new Map<number, string | null>();

  const addServerName = (backendServer: string): void => {
    const id = computeNameId(backendServer);
    const holder = serverNames.get(id);
    serverNames.set(id, holder === undefined || holder === backendServer ? backendServer : null);
  };
  const findServerName = (id: number): string | null => serverNames.get(id) ?? null;

  const recordLoad = (fact: LoadFact, origin: FactOrigin): void => {
    const name = findServerName(fact.id);
    const state = name === null ? null : factStore.find(`state:${name}`);
    const held = factStore.find(`load:${name}`);
    if (state?.kind !== 'server-state') return;
    const report = convertFactsToReport(state, fact, readNowMs());
    const known = held?.kind === 'load' ? convertFactsToReport(state, held, readNowMs()) : null;
    if (!isNewerReport(report, known)) return;
    factStore.write(`load:${name}`, fact, origin.vm);
    load?.recordReport(report);
  };

  const recordServerState = (fact: ServerStateFact, origin: FactOrigin): void => {
    addServerName(fact.backendServer);
    const key = `state:${fact.backendServer}`;
    const held = factStore.find(key);
    if (JSON.stringify(held) === JSON.stringify(fact)) return;
    factStore.write(key, fact, origin.vm);
    // Both directions: a server replaced under the same name must receive work again.
    const wasLeaving = held?.kind === 'server-state' && held.leaving;
    if (fact.leaving !== wasLeaving) health?.recordLeaving(fact.backendServer, fact.leaving);
  };

  const sendsByVm = new Map<string, Map<number, number>>();

  const handlers: Handlers = {
    peer: ({ record }, origin) => {
      if (record.vm === deps.self || !members.mergeRecord(record)) return;
      factStore.write(`peer:${record.vm}`, { kind: 'peer', record }, origin.vm);
    },
    pulse: (fact, origin) => {
      const member = members.findById(fact.id);
      if (member === null) return;
      // A pulse of an incarnation other than the held one is late or early and proves nothing.
      if (fact.incarnationTag !== computeIncarnationTag(member.record.incarnation)) return;
      const isFirst = member.incarnationTag !== fact.incarnationTag;
      if (!isFirst && fact.beats <= member.beats) return;
      member.incarnationTag = fact.incarnationTag;
      member.beats = fact.beats;
      // The first pulse seen may be a dead VM's last: only an increase proves that it is alive.
      if (!isFirst && origin.writtenAfterMs !== null) member.heardAtMs = origin.writtenAfterMs;
      factStore.write(`pulse:${member.record.vm}`, fact, origin.vm);
    },
    region: (fact, origin) => {
      const key = `region:${fact.region}`;
      const held = factStore.find(key);
      if (origin.writtenAfterMs === null) return;
      if (held?.kind === 'region' && held.ageMs <= fact.ageMs) return;
      factStore.write(key, fact, origin.vm);
    },
    suspicion: ({ suspicion }, origin) => {
      const key = `suspicion:${suspicion.backendServer}`;
      const held = factStore.find(key);
      const isKnown =
        held?.kind === 'suspicion' && JSON.stringify(held.suspicion) === JSON.stringify(suspicion);
      if (isKnown) return;
      factStore.write(key, { kind: 'suspicion', suspicion }, origin.vm);
      health?.recordSuspicion(suspicion);
    },
    leaving: (fact, origin) => {
      const key = `leaving:${fact.backendServer}`;
      if (factStore.find(key) !== null) return;
      factStore.write(key, fact, origin.vm);
      health?.recordLeaving(fact.backendServer, true);
    },
    crash: (fact, origin) => mergeCrash(fact, origin.vm),
    recovery: ({ backendServer }) => {
      factStore.remove(`suspicion:${backendServer}`);
      health?.recordRecovery(backendServer);
    },
    send: ({ id, running }, origin) => {
      const held = sendsByVm.get(origin.vm) ?? new Map<number, number>();
      held.set(id, running);
      sendsByVm.set(origin.vm, held);
    },
    'server-state': recordServerState,
    load: recordLoad,
  };

  const recordFact = <Kind extends Fact['kind']>(
    fact: Extract<Fact, { kind: Kind }>,
    origin: FactOrigin,
  ): void => {
    const { kind } = fact;
    handlers[kind](fact, origin);
  };

  const recordSends = (vm: string): void => {
    const held = [...(sendsByVm.get(vm) ?? [])].flatMap(([id, running]) => {
      const backendServer = findServerName(id);
      return backendServer === null || running === 0 ? [] : [{ backendServer, running }];
    });
    load?.recordPeerSends(vm, held);
  };

  return {
    mergeFacts: (facts, origin) => {
      facts.forEach((fact) => recordFact(fact, origin));
      // Also without a change: the load view drops the sends of a silent peer.
      if (sendsByVm.has(origin.vm)) recordSends(origin.vm);
    },
    findServerName,
    addServerName,
  };
}
