import { err, ok } from 'neverthrow';
import type { ObjectStore } from '../../../src/application/ports';
import { createStoreFaults, type StoreFaults } from '../_lib/createStoreFaults';

/** An object store in memory, with switches for its faults. */
export interface MemoryObjectStore extends ObjectStore, StoreFaults {
  listKeys(): readonly string[];
}

/** Creates an object store in memory that behaves as the platform's does. */
export function createMemoryObjectStore(): MemoryObjectStore {
  const faults = createStoreFaults();
  const objects = new Map<string, Uint8Array>();
  return {
    ...faults,
    listKeys: () => [...objects.keys()],
    readObject: (key) => faults.runRead(() => objects.get(key) ?? null),
    writeObject: (key, content, { onlyIfAbsent }) =>
      faults.runWrite(() => {
        if (onlyIfAbsent && objects.has(key)) {
          return err({ kind: 'condition-failed', current: null });
        }
        objects.set(key, content);
        return ok(undefined);
      }),
  };
}
