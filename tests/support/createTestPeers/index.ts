import { err, ok } from 'neverthrow';
import type { Generations, PeerGenerations } from '../../../src/application/ports';

/** An in-memory network between entries. */
export interface TestPeers {
  readonly peers: PeerGenerations;
  add(vm: string, generations: Generations): void;
  /** Makes a VM unreachable for new calls. */
  remove(vm: string): void;
}

/** Creates an in-memory network without entries. */
export const createTestPeers = (): TestPeers => {
  const entries = new Map<string, Generations>();
  return {
    peers: {
      attachGeneration: async ({ vm }, { workspace, generationId, offset }) => {
        const entry = entries.get(vm);
        if (!entry) return err({ kind: 'unreachable' });
        const feed = entry.findGeneration(workspace, generationId, offset);
        return feed ? ok(feed) : err({ kind: 'not-held' });
      },
      cancelGeneration: async ({ vm }, { workspace, generationId }) =>
        (await entries.get(vm)?.cancelGeneration(workspace, generationId)) ?? false,
      findPeerAddress: (vm) => (entries.has(vm) ? vm : null),
    },
    add: (vm, generations) => entries.set(vm, generations),
    remove: (vm) => entries.delete(vm),
  };
};
