import type { ObjectStore } from '../../ports';
import { createOperationRunner, type OperationRunnerDependencies } from '../createOperationRunner';
import type { StorePolicy } from '../policies';

/**
 * Adds deadlines, retries and a circuit breaker to an object store. Of the writes whose response is
 * lost, only unconditional ones are retried.
 */
export function createResilientObjectStore(
  inner: ObjectStore,
  policy: StorePolicy,
  dependencies: OperationRunnerDependencies,
): ObjectStore {
  const runner = createOperationRunner('objects', policy, dependencies);
  return {
    readObject: (key) =>
      runner.runOperation(() => inner.readObject(key), { write: false, repeatable: true }),
    writeObject: (key, content, options) =>
      runner.runOperation(() => inner.writeObject(key, content, options), {
        write: true,
        repeatable: !options.onlyIfAbsent,
      }),
  };
}
