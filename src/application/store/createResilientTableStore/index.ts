import type { TableStore } from '../../ports';
import { createOperationRunner, type OperationRunnerDependencies } from '../createOperationRunner';
import type { StorePolicy } from '../policies';

const READ = { write: false, repeatable: true };

/** A retried conditional write could conflict with its own first attempt: the caller reads back. */
const WRITE = { write: true, repeatable: false };

/**
 * Adds deadlines, retries and a circuit breaker to a table store. A write is retried only if it
 * certainly had no effect.
 */
export function createResilientTableStore(
  inner: TableStore,
  policy: StorePolicy,
  dependencies: OperationRunnerDependencies,
): TableStore {
  const runner = createOperationRunner('table', policy, dependencies);
  return {
    readItem: (partition, sort) => runner.runOperation(() => inner.readItem(partition, sort), READ),
    listItems: (partition, options) =>
      runner.runOperation(() => inner.listItems(partition, options), READ),
    writeItem: (item, condition) =>
      runner.runOperation(() => inner.writeItem(item, condition), WRITE),
    removeItem: (partition, sort, condition) =>
      runner.runOperation(() => inner.removeItem(partition, sort, condition), WRITE),
  };
}
