import type { Clock } from '../../../ports';

/** Ends of claimed generations that are not yet written to the store. */
export interface PendingWrites {
  /** Keeps the write in mind until it has settled. */
  add(write: Promise<void>): void;
  /** Resolves when all have settled, or after `boundMs`. */
  wait(boundMs: number): Promise<void>;
}

/**
 * Creates the list of pending ends.
 *
 * The caller has its last token before the answer is stored. A process that exits in between would
 * leave a claim without its answer, and a repeat of the key would find neither; so a shutdown waits.
 */
export const createPendingWrites = (clock: Clock): PendingWrites => {
  const writes = new Set<Promise<void>>();
  return {
    add: (write) => {
      writes.add(write);
      const remove = (): boolean => writes.delete(write);
      write.then(remove, remove);
    },
    wait: async (boundMs) => {
      if (writes.size === 0) return;
      let cancelTimer = (): void => undefined;
      const bound = new Promise<void>((resolve) => {
        cancelTimer = clock.startTimer(boundMs, resolve);
      });
      await Promise.race([Promise.allSettled(writes), bound]);
      cancelTimer();
    },
  };
};
