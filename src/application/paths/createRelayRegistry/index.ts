import {
  chooseRelay,
  drawRelayCandidates,
  type Relay,
  type RelayCandidate,
} from '../../../domain/paths';
import { createSkipList } from '../../_lib/createSkipList';
import type { Clock, EventLog, Randomness } from '../../ports';
import type { ReachAnswer } from '../types';

/** Dependencies of the relay registry. */
export interface RelayRegistryDependencies {
  /** This VM. */
  readonly self: Pick<RelayCandidate, 'availabilityZone' | 'vm'>;
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
  readonly log: EventLog;
  readonly randomness: Randomness;
  readonly listPeers: () => readonly (RelayCandidate & { readonly cores: number })[];
  /** Asks a VM which of these servers it reaches; null if it does not answer in time. */
  readonly askPeer: (address: string, ids: readonly string[]) => Promise<ReachAnswer | null>;
}

/** The VMs through which this VM reaches servers that it does not reach itself. */
export interface RelayRegistry {
  /**
   * Asks some VMs which of these servers they reach.
   *
   * @param options.isCutOff - whether to go on until one of them reaches a server
   */
  askRelays(ids: readonly string[], options: { readonly isCutOff: boolean }): Promise<void>;
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

  const askOne = async (
    { address, cores, vm }: RelayCandidate & { readonly cores: number },
    ids: readonly string[],
  ): Promise<void> => {
    const answer = await askPeer(address, ids);
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
        const peers = listPeers().filter(({ vm }) => !askedVms.has(vm));
        const drawn = new Set(
          drawRelayCandidates(peers, {
            count: RELAY_COUNT,
            ownZone: self.availabilityZone,
            knownVms: new Set(relays.keys()),
            skippedVms: new Set(peers.map(({ vm }) => vm).filter(skipped.has)),
            drawFraction,
          }).map(({ vm }) => vm),
        );
        drawn.forEach((vm) => askedVms.add(vm));
        await Promise.all(peers.filter(({ vm }) => drawn.has(vm)).map((peer) => askOne(peer, ids)));
        if (relays.size > 0 || drawn.size === 0) return;
      }
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
