import type { ObjectStore } from '../../ports';
import { createOperationRunner, type OperationRunnerDependencies } from '../createOperationRunner';
import type { StorePolicy } from '../policies';

/** Creates an object store that fails soon; only unconditional writes are sent again when lost. */
export function createResilientObjectStore(
  inner: ObjectStore,
  policy: StorePolicy,
  dependencies: OperationRunnerDependencies,
): ObjectStore {
  const guard = createOperationRunner('objects', policy, dependencies);
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
