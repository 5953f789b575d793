import { err, type Result } from 'neverthrow';
import type { StoreError, TableStore } from '../../../src/application/ports';

/** Decides when each pending step happens, as fast-check's scheduler does. */
export interface StepScheduler {
  schedule<T>(task: Promise<T>, label: string): Promise<T>;
}

/** Outcome of a write: it succeeds, its answer is lost, or it takes effect after its timeout. */
export type WriteFate = 'none' | 'answer' | 'late';

const LOST: StoreError = { kind: 'ambiguous', reason: 'the answer was lost' };

/**
 * Creates a table whose calls happen in the scheduler's order, over another table.
 *
 * @param fates of the writes in the order in which they happen; any further ones succeed
 */
export function createScheduledTableStore(
  inner: TableStore,
  scheduler: StepScheduler,
  fates: readonly WriteFate[],
): TableStore {
  let writes = 0;
  const waitTurn = (label: string): Promise<void> => scheduler.schedule(Promise.resolve(), label);
  const runWrite: Record<
    WriteFate,
    (write: () => Promise<Result<void, StoreError>>) => Promise<Result<void, StoreError>>
  > = {
    none: (write) => write(),
    answer: async (write) => {
      await write();
      return err(LOST);
    },
    late: async (write) => {
      waitTurn('late write').then(write);
      return err(LOST);
    },
  };
  const runNext = async (
    write: () => Promise<Result<void, StoreError>>,
  ): Promise<Result<void, StoreError>> => {
    await waitTurn('write');
    const fate = fates[writes] ?? 'none';
    writes += 1;
    return runWrite[fate](write);
  };
  return {
    readItem: async (...row) => {
      await waitTurn('read');
      return inner.readItem(...row);
    },
    listItems: async (...query) => {
      await waitTurn('list');
      return inner.listItems(...query);
    },
    writeItem: (...write) => runNext(() => inner.writeItem(...write)),
    removeItem: (...removal) => runNext(() => inner.removeItem(...removal)),
  };
}
