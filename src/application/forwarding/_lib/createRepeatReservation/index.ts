import type { RetryLender } from '../../createRetryLender';
import type { Retry } from '../../types';

/** Holds the retry of a call's next attempt. */
export interface RepeatReservation {
  /** Acquires a retry unless one is held; resolves with false if none is left. */
  reserveRetry(): Promise<boolean>;
  /** Resolves with the retry that is held, or with another one; null if none is left. */
  acquireRetry(): Promise<Retry | null>;
}

/**
 * Creates the reservation of a call, which holds no retry at first.
 *
 * @param ended - aborts once the call has ended: a retry that is held then is given back
 */
export const createRepeatReservation = (
  lender: Pick<RetryLender, 'acquireRetry'>,
  service: string,
  ended: AbortSignal,
): RepeatReservation => {
  let held: Retry | null = null;
  const releaseHeld = (): void => {
    held?.release();
    held = null;
  };
  ended.addEventListener('abort', releaseHeld, { once: true });
  return {
    reserveRetry: async () => {
      if (held) return true;
      const acquired = await lender.acquireRetry(service);
      // Another attempt may have reserved one meanwhile, or the call may have ended.
      if (held || ended.aborted) acquired?.release();
      else held = acquired;
      return held !== null;
    },
    acquireRetry: () => {
      const taken = held;
      held = null;
      return taken ? Promise.resolve(taken) : lender.acquireRetry(service);
    },
  };
};
