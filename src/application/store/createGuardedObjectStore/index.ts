import type { ObjectStore } from '../../ports';
import { createStoreGuard, type StoreGuardDependencies } from '../createStoreGuard';
import type { StorePolicy } from '../policies';

/** Creates an object store that fails soon; only unconditional writes are sent again when lost. */
export function createGuardedObjectStore(
  inner: ObjectStore,
  policy: StorePolicy,
  dependencies: StoreGuardDependencies,
): ObjectStore {
  const guard = createStoreGuard('objects', policy, dependencies);
  return {
    readObject: (key) =>
      guard.runOperation(() => inner.readObject(key), { write: false, repeatable: true }),
    writeObject: (key, content, options) =>
      guard.runOperation(() => inner.writeObject(key, content, options), {
        write: true,
        repeatable: !options.onlyIfAbsent,
      }),
  };
}
