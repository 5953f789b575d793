import {
  createRelayRegistry,
  createServerPaths,
  createServerReach,
} from '../../../src/application/paths';
import type { ServerEntry } from '../../../src/domain/forwarding';
import { createFakeClock, createSeededRandomness, QUIET_LOG } from '../../fakes';

/** Longer than a check and the questions that follow it. */
export const CHECK_MS = 20;

/** Longer than the time until a VM probes its servers again. */
export const ROUND_MS = 1000;

/** Ids of the servers. */
export const PATH_SERVER_IDS = ['i-1', 'i-2', 'i-3'];

const buildEntry = (id: string): ServerEntry => ({
  id,
  service: 's',
  address: `${id}:1`,
  availabilityZone: 'z1',
  slots: 8,
  isLeaving: false,
  warmupLeftMs: 0,
  version: '',
  sequence: 1,
  bornMs: null,
});

/** Paths of one VM whose links the test cuts, and of peers that each reach some servers. */
export const createPathsFixture = (peers: Readonly<Record<string, readonly string[] | null>>) => {
  const clock = createFakeClock();
  const randomness = createSeededRandomness(7);
  const reachedIds = new Set(PATH_SERVER_IDS);
  const answers = new Map(Object.entries(peers));
  const relayedIds: string[] = [];
  let probes = 0;
  let questions = 0;
  const common = { clock, randomness, log: QUIET_LOG };
  const reach = createServerReach({
    ...common,
    listServers: () => PATH_SERVER_IDS.map(buildEntry),
    probeServer: async ({ id }) => {
      probes += 1;
      return reachedIds.has(id);
    },
  });
  const relays = createRelayRegistry({
    ...common,
    self: { vm: 'self', availabilityZone: 'z1' },
    listPeers: () =>
      [...answers.keys()].map((vm) => ({ vm, address: vm, availabilityZone: 'z2', cores: 1 })),
    askPeer: async (address, { ids }) => {
      questions += 1;
      const reached = answers.get(address) ?? null;
      if (reached === null) return null;
      const reachesAny = reached.length > 0;
      return { reachedIds: ids.filter((id) => reached.includes(id)), reachesAny, running: 0 };
    },
  });
  const paths = createServerPaths({
    ...common,
    reach,
    relays,
    handleRelayed: (id) => relayedIds.push(id),
  });
  return {
    answers,
    clock,
    paths,
    reachedIds,
    relayedIds,
    countProbes: () => probes,
    countQuestions: () => questions,
    readRelay: (id: string): string | null => {
      const path = paths.choosePath(id);
      return path.kind === 'relay' ? path.vm : null;
    },
    failAt: async (id: string) => {
      paths.recordFailure(id, 'not-connected');
      await clock.advanceAsync(CHECK_MS);
    },
  };
};
