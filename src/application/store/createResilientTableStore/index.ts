import type { TableStore } from '../../ports';
import { createOperationRunner, type OperationRunnerDependencies } from '../createOperationRunner';
import type { StorePolicy } from '../policies';

const READ = { write: false, repeatable: true };

/** A conditional write sent again could fail on its own first effect: the caller reads back. */
const WRITE = { write: true, repeatable: false };

/** Creates a table store that fails soon and retries only what surely had no effect. */
export function createResilientTableStore(
  inner: TableStore,
  policy: StorePolicy,
  dependencies: OperationRunnerDependencies,
): TableStore {
  const guard = createOperationRunner('table', policy, dependencies);
  return {
    readItem: (partition, sort) => guard.runOperation(() => inner.readItem(partition, sort), READ),
    listItems: (partition, options) =>
      guard.runOperation(() => inner.listItems(partition, options), READ),
    writeItem: (item, condition) =>
      guard.runOperation(() => inner.writeItem(item, condition), WRITE),
    removeItem: (partition, sort, condition) =>
      guard.runOperation(() => inner.removeItem(partition, sort, condition), WRITE),
  };
}
