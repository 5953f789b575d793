import type { AttemptRecord } from '../../types';

interface Waiter {
  readonly count: number;
  readonly streamId: string;
  readonly resolve: (record: AttemptRecord) => void;
}

/** Tests that wait for a stream to reach a number of tokens. */
export interface TokenWaiters {
  waitForTokens(
    count: number,
    streamId: string,
    current: readonly AttemptRecord[],
  ): Promise<AttemptRecord>;
  /** Wakes those for whom the record is enough. */
  handleToken(record: AttemptRecord): void;
}

const fits = (waiter: Omit<Waiter, 'resolve'>, record: AttemptRecord): boolean =>
  record.streamId.startsWith(waiter.streamId) &&
  record.prefixTokens + record.generatedTokens >= waiter.count;

/** Creates the list of waiting tests. */
export function createTokenWaiters(): TokenWaiters {
  let waiters: readonly Waiter[] = [];
  return {
    waitForTokens: (count, streamId, current) => {
      const found = current.find((record) => fits({ count, streamId }, record));
      if (found !== undefined) return Promise.resolve(found);
      return new Promise((resolve) => {
        waiters = [...waiters, { count, streamId, resolve }];
      });
    },
    handleToken: (record) => {
      const woken = waiters.filter((waiter) => fits(waiter, record));
      if (woken.length === 0) return;
      waiters = waiters.filter((waiter) => !woken.includes(waiter));
      woken.forEach((waiter) => waiter.resolve(record));
    },
  };
}
