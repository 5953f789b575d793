import {
  chooseRelay,
  drawRelayCandidates,
  type Relay,
  type RelayCandidate,
} from '../../../domain/paths';
import { createSkipList } from '../../_lib/createSkipList';
import type { Clock, EventLog, Randomness } from '../../ports';
import type { ReachAnswer, ReachQuestion } from '../types';

/** A VM that may be asked. */
type Peer = RelayCandidate & { readonly cores: number };

/** Dependencies of the relay registry. */
export interface RelayRegistryDependencies {
  /** This VM. */
  readonly self: Pick<RelayCandidate, 'availabilityZone' | 'vm'>;
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
  readonly log: EventLog;
  readonly randomness: Randomness;
  readonly listPeers: () => readonly Peer[];
  /** Asks a VM which of these servers it reaches; null if it does not answer in time. */
  readonly askPeer: (address: string, question: ReachQuestion) => Promise<ReachAnswer | null>;
}

/** The VMs through which this VM reaches servers that it does not reach itself. */
export interface RelayRegistry {
  /**
   * Asks some VMs which of these servers they reach.
   *
   * @param options.isCutOff - whether to go on until one of them reaches a server
   */
  askRelays(ids: readonly string[], options: { readonly isCutOff: boolean }): Promise<void>;
  /** Asks some VMs whether they reach a server; null if none of them reaches any. */
  askAbout(serverId: string): Promise<boolean | null>;
  /** Chooses a VM that reaches a server; null if none is known. */
  chooseRelay(serverId: string): Relay | null;
  /** Records that a VM was not reached, or that its connection was lost under a request. */
  recordLoss(vm: string): void;
  /** Records that a VM left a request unanswered. */
  recordSilence(vm: string): void;
  /** Records that a VM does not reach a server after all. */
  recordMiss(vm: string, serverId: string): void;
  countRelays(): number;
  /** Forgets all relays, as none is needed. */
  clear(): void;
}

/** Relays kept at a time. */
const RELAY_COUNT = 3;

/** Rounds of questions of a VM that reaches no server, until a relay is found. */
const MAX_ROUNDS = 3;

/** Creates a registry without relays. */
export const createRelayRegistry = ({
  askPeer,
  clock,
  listPeers,
  log,
  randomness,
  self,
}: RelayRegistryDependencies): RelayRegistry => {
  const relays = new Map<string, Relay>();
  /** VMs that did not answer. */
  const skipped = createSkipList(clock);
  const drawFraction = (): number => randomness.readFraction();

  const removeRelay = (vm: string, reason: string): void => {
    if (relays.delete(vm)) log.warn('relay removed', { relay: vm, reason, left: relays.size });
  };

  /** Draws VMs to ask, other than some; at the most as many as are kept. */
  const drawPeers = (
    excludedVms: ReadonlySet<string>,
    isSkipped: (vm: string) => boolean = skipped.has,
  ): readonly Peer[] => {
    const peers = listPeers().filter(({ vm }) => !excludedVms.has(vm));
    const drawn = drawRelayCandidates(peers, {
      count: RELAY_COUNT,
      ownZone: self.availabilityZone,
      knownVms: new Set(relays.keys()),
      skippedVms: new Set(peers.map(({ vm }) => vm).filter(isSkipped)),
      drawFraction,
    });
    const drawnVms = new Set(drawn.map(({ vm }) => vm));
    return peers.filter(({ vm }) => drawnVms.has(vm));
  };

  const askOne = async ({ address, cores, vm }: Peer, ids: readonly string[]): Promise<void> => {
    const answer = await askPeer(address, { ids, suspectId: null });
    if (answer === null) {
      skipped.add(vm);
      return removeRelay(vm, 'no answer');
    }
    if (answer.reachedIds.length === 0) return removeRelay(vm, 'reaches no server');
    const isNew = !relays.has(vm);
    relays.set(vm, {
      vm,
      address,
      askedIds: new Set(ids),
      reachedIds: new Set(answer.reachedIds),
      load: answer.running / (cores > 0 ? cores : 1),
      isDoubted: false,
    });
    const { reachedIds, running } = answer;
    if (isNew) {
      log.info('relay found', {
        relay: vm,
        asked: ids.length,
        reached: reachedIds.length,
        running,
      });
    }
    return undefined;
  };

  return {
    askRelays: async (ids, { isCutOff }) => {
      const askedVms = new Set<string>();
      for (let round = 0; round < (isCutOff ? MAX_ROUNDS : 1); round += 1) {
        const drawn = drawPeers(askedVms);
        drawn.forEach(({ vm }) => askedVms.add(vm));
        await Promise.all(drawn.map((peer) => askOne(peer, ids)));
        if (relays.size > 0 || drawn.length === 0) return;
      }
    },
    askAbout: async (serverId) => {
      const question = { ids: [serverId], suspectId: serverId };
      const drawn = drawPeers(new Set());
      // VMs that failed a moment ago may answer: without any answer nothing is known of the server.
      const others = drawPeers(new Set(drawn.map(({ vm }) => vm)), () => false);
      const peers = [...drawn, ...others].slice(0, RELAY_COUNT);
      const answers = await Promise.all(peers.map(({ address }) => askPeer(address, question)));
      if (answers.some((answer) => answer?.reachedIds.includes(serverId))) return true;
      return answers.some((answer) => answer?.reachesAny) ? false : null;
    },
    chooseRelay: (serverId) => chooseRelay([...relays.values()], { serverId, drawFraction }),
    recordLoss: (vm) => {
      skipped.add(vm);
      removeRelay(vm, 'connection lost');
    },
    recordSilence: (vm) => {
      const relay = relays.get(vm);
      if (relay) relays.set(vm, { ...relay, isDoubted: true });
    },
    recordMiss: (vm, serverId) => {
      const relay = relays.get(vm);
      if (!relay) return;
      const reachedIds = new Set([...relay.reachedIds].filter((id) => id !== serverId));
      relays.set(vm, { ...relay, reachedIds, askedIds: new Set([...relay.askedIds, serverId]) });
    },
    countRelays: () => relays.size,
    clear: () => relays.clear(),
  };
};
