import type { Result } from 'neverthrow';
import type { ClaimChange } from '../../../../domain/claim';
import type { ClaimRow } from '../../../../domain/types';
import type { ClaimError } from '../../../ports';

/** Serializes the updates of each claim. */
export interface UpdateQueue {
  /** Writes the change; changes that arrive during a write are merged into the next one. */
  add(row: ClaimRow, change: ClaimChange): Promise<Result<ClaimRow, ClaimError>>;
}

/** Writes one change of one claim. */
export type WriteChange = (
  row: ClaimRow,
  change: ClaimChange,
) => Promise<Result<ClaimRow, ClaimError>>;

interface Queue {
  /** Resolves when the running write is done. */
  readonly running: Promise<Result<ClaimRow, ClaimError>>;
  next: { change: ClaimChange; readonly done: Promise<Result<ClaimRow, ClaimError>> } | null;
}

/** Creates a queue that merges concurrent changes of the same claim. */
export function createUpdateQueue(writeChange: WriteChange): UpdateQueue {
  const queues = new Map<string, Queue>();

  const start = (row: ClaimRow, change: ClaimChange): Promise<Result<ClaimRow, ClaimError>> => {
    const running = writeChange(row, change);
    const queue: Queue = { running, next: null };
    queues.set(row.claimId, queue);
    running.then(() => {
      if (queue.next === null) queues.delete(row.claimId);
    });
    return running;
  };

  return {
    add: (row, change) => {
      const queue = queues.get(row.claimId);
      if (queue === undefined) return start(row, change);
      if (queue.next === null) {
        const done = queue.running.then((result) =>
          start(result.unwrapOr(row), queue.next?.change ?? change),
        );
        queue.next = { change, done };
        return done;
      }
      queue.next.change = { ...queue.next.change, ...change };
      return queue.next.done;
    },
  };
}
