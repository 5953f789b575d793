import type { Clock } from '../../ports';
import type { Retry } from '../types';
import type { AttemptPath, UnreadAttempts } from '../createUnreadAttempts';

/** One attempt of a request on its way to a server. */
export interface AttemptArrival {
  /** Records that no server got the attempt. */
  recordUnsent(): void;
  /** Records that the server has read the attempt: it answered, or closed the connection. */
  recordRead(): void;
  /** Records that the attempt was given up; the server may read it later. */
  recordGivenUp(path: AttemptPath): void;
}

/**
 * The attempts of one request, and the retries of the shared budget that they took.
 *
 * The first arrival of a request at a server needs no retry, each further one does, whatever the
 * order in which attempts were sent: one that is given up may arrive after the next.
 */
export interface RequestArrivals {
  /** Counts the attempts that reached a server, or may still do so. */
  countSent(): number;
  /**
   * Records that an attempt is about to be sent.
   *
   * @param retry - null for the first attempt
   */
  startAttempt(retry: Retry | null): AttemptArrival;
}

/** Dependencies of the arrivals of a request. */
export interface RequestArrivalsDependencies {
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
  readonly unread: Pick<UnreadAttempts, 'addAttempt'>;
}

/** Creates the arrivals of a request that was not sent yet. */
export const createRequestArrivals = ({
  clock,
  unread,
}: RequestArrivalsDependencies): RequestArrivals => {
  let retries: readonly Retry[] = [];
  let read = 0;
  /** Attempts that may still arrive. */
  let pending = 0;

  /** Closes the retries that no attempt needs any more. */
  const closeRetries = (close: (retry: Retry) => void): void => {
    const needed = read > 0 ? pending : Math.max(0, pending - 1);
    const closed = retries.slice(needed);
    retries = retries.slice(0, needed);
    closed.forEach(close);
  };

  return {
    countSent: () => read + pending,
    startAttempt: (retry) => {
      const sentAtMs = clock.readMonotonicMs();
      let isPending = true;
      let isGivenUp = false;
      pending += 1;
      if (retry) retries = [...retries, retry];
      const closeAttempt = (isRead: boolean, close: (retry: Retry) => void): void => {
        if (!isPending) return;
        isPending = false;
        pending -= 1;
        if (isRead) read += 1;
        closeRetries(close);
      };
      const recordRead = (): void => closeAttempt(true, (one) => one.finish());
      return {
        recordUnsent: () => closeAttempt(false, (one) => one.release()),
        recordRead,
        recordGivenUp: (path) => {
          if (isPending && !isGivenUp) unread.addAttempt(path, sentAtMs, recordRead);
          isGivenUp = true;
        },
      };
    },
  };
};
