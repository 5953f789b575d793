import { err, ok } from 'neverthrow';
import type { Generations, PeerGenerations } from '../../../src/application/ports';

/** Entries that reach each other in memory. */
export interface TestPeers {
  readonly peers: PeerGenerations;
  add(vm: string, generations: Generations): void;
  /** From now on the VM does not answer; feeds that run from it stand still. */
  remove(vm: string): void;
}

/** Creates a network without entries. */
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
