import type { Result } from 'neverthrow';
import type { ClaimChange } from '../../../../domain/claim';
import type { ClaimRow } from '../../../../domain/types';
import type { ClaimError } from '../../../ports';

/** Updates of claims, one at a time for each claim. */
export interface UpdateQueue {
  /** Makes the change; changes that come while one is being written share the next write. */
  add(row: ClaimRow, change: ClaimChange): Promise<Result<ClaimRow, ClaimError>>;
}

/** Writes one change of one claim. */
export type WriteChange = (
  row: ClaimRow,
  change: ClaimChange,
) => Promise<Result<ClaimRow, ClaimError>>;

interface Queue {
  /** Settles when the running write, or the one that will follow it, is done. */
  readonly running: Promise<Result<ClaimRow, ClaimError>>;
  next: { change: ClaimChange; readonly done: Promise<Result<ClaimRow, ClaimError>> } | null;
}

/** Creates a queue that groups what several callers change in one claim at the same time. */
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
