import type { Clock } from '../../ports';

/**
 * Dates what one reader reads from a connection: not by when it is read, but by the earliest time at
 * which it can have been sent.
 */
export interface SendDating {
  /** Records that the reader has handled what it read, and waits for more. */
  startWaiting(): void;
  /** Records that the reader waits still, so that what comes next is dated more closely. */
  refresh(): void;
  /** Records that the reader reads; returns since when that can have been sent, in monotonic ms. */
  readSentSinceMs(): number;
}

/**
 * A process that finds events does not wait for them. It has waited for at least this long only if
 * there was nothing to read.
 */
const MIN_IDLE_MS = 0.5;

/**
 * Creates the dating of a connection on which nothing has been sent before now.
 *
 * If the process waited for events after the reader began to wait, there was nothing to read at that
 * time, and what comes later was sent later. Otherwise it may have been there before: the process was
 * stopped, was short of processor time, or did not read because its caller did not.
 *
 * @example
 * const dating = createSendDating(clock);
 * dating.startWaiting();
 * await readNext();
 * const sentSinceMs = dating.readSentSinceMs();
 */
export const createSendDating = (
  clock: Pick<Clock, 'readIdleMs' | 'readMonotonicMs'>,
): SendDating => {
  let sentSinceMs = clock.readMonotonicMs();
  /** When the reader began to wait, and the idle time of the process then; null while it reads. */
  let waiting: { readonly sinceMs: number; readonly idleMs: number } | null = null;

  const applyWait = (): void => {
    if (waiting && clock.readIdleMs() - waiting.idleMs >= MIN_IDLE_MS)
      sentSinceMs = waiting.sinceMs;
  };

  const startWaiting = (): void => {
    waiting = { sinceMs: clock.readMonotonicMs(), idleMs: clock.readIdleMs() };
  };

  startWaiting();
  return {
    startWaiting,
    refresh: () => {
      if (!waiting) return;
      applyWait();
      startWaiting();
    },
    readSentSinceMs: () => {
      applyWait();
      waiting = null;
      return sentSinceMs;
    },
  };
};
