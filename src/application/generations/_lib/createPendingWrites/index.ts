import type { Clock } from '../../../ports';

/** Writes of the outcomes of claimed generations that the store has not yet confirmed. */
export interface PendingWrites {
  /** Tracks a write until it settles. */
  add(write: Promise<void>): void;
  /** Resolves when all writes have settled, or after `maxWaitMs` at the latest. */
  wait(maxWaitMs: number): Promise<void>;
}

/**
 * Creates an empty set of pending writes.
 *
 * The caller receives its last token before the answer is stored. If the process exits in between,
 * the claim has no answer, and a repeat with the same key finds neither the answer nor the running
 * generation. So a shutdown waits for the pending writes.
 */
export const createPendingWrites = (clock: Clock): PendingWrites => {
  const writes = new Set<Promise<void>>();
  return {
    add: (write) => {
      writes.add(write);
      const untrack = (): boolean => writes.delete(write);
      write.then(untrack, untrack);
    },
    wait: async (maxWaitMs) => {
      if (writes.size === 0) return;
      let cancelTimer = (): void => undefined;
      const timeout = new Promise<void>((resolve) => {
        cancelTimer = clock.startTimer(maxWaitMs, resolve);
      });
      await Promise.race([Promise.allSettled(writes), timeout]);
      cancelTimer();
    },
  };
};
