import type { Clock } from '../../../ports';

/** A call that was sent. */
export interface SentCall<T> {
  /** Resolves with null if the call failed. */
  readonly answer: Promise<T | null>;
  /** The call is repeated if it has no answer after this time, in milliseconds. */
  readonly dueMs: number;
  cancel(): void;
}

/** Options of a repeated call. */
export interface RepeatOptions<T> {
  readonly clock: Pick<Clock, 'startTimer'>;
  /** Sends a call; `attempt` counts from 0. */
  readonly send: (attempt: number) => SentCall<T>;
  /** Computes the pause after a call that failed before it was due. */
  readonly computePauseMs: (attempt: number) => number;
  /** Asked before each repetition; once false, the call ends without an answer. */
  readonly isWanted: () => boolean;
  /** While false, the next call is put off. */
  readonly maySend: (attempt: number) => boolean;
  readonly signal: AbortSignal;
}

/** A call that is repeated until one of its attempts is answered. */
export interface RepeatedCall<T> {
  /** Resolves with the first answer, or with null once the signal aborts. */
  readonly answer: Promise<T | null>;
  /** Sends the next attempt now. */
  repeatNow(): void;
  /** Waits for the attempts that were sent for `delayMs` before the next one is sent. */
  postpone(delayMs: number): void;
}

/**
 * Sends a call until an attempt is answered. Attempts overlap: one whose answer is overdue goes on
 * while the next is sent, so that no attempt waits for the timeout of the one before.
 */
export const repeatUntilAnswered = <T>({
  clock,
  computePauseMs,
  isWanted,
  maySend,
  send,
  signal,
}: RepeatOptions<T>): RepeatedCall<T> => {
  const cancels = new Set<() => void>();
  let attempts = 0;
  let isOver = false;
  let cancelTimer = (): void => undefined;
  let resolveAnswer: (answer: T | null) => void = () => undefined;
  const answer = new Promise<T | null>((resolve) => {
    resolveAnswer = resolve;
  });
  const stopped = new AbortController();

  const end = (value: T | null): void => {
    if (isOver) return;
    isOver = true;
    cancelTimer();
    stopped.abort();
    resolveAnswer(value);
    cancels.forEach((cancel) => cancel());
  };

  const schedule = (delayMs: number, run: () => void): void => {
    cancelTimer();
    cancelTimer = clock.startTimer(delayMs, run);
  };

  const sendNext = (): void => {
    if (isOver) return;
    if (attempts > 0 && !isWanted()) {
      end(null);
      return;
    }
    if (!maySend(attempts)) {
      schedule(computePauseMs(attempts), sendNext);
      return;
    }
    const call = send(attempts);
    attempts += 1;
    const number = attempts;
    cancels.add(call.cancel);
    schedule(call.dueMs, sendNext);
    call.answer.then((value) => {
      cancels.delete(call.cancel);
      if (value !== null) end(value);
      // While a later attempt is under way, the failure of an earlier one changes nothing.
      else if (!isOver && number === attempts) schedule(computePauseMs(attempts), sendNext);
    });
  };

  signal.addEventListener('abort', () => end(null), { once: true, signal: stopped.signal });
  sendNext();
  return {
    answer,
    repeatNow: () => {
      if (!isOver) schedule(0, sendNext);
    },
    postpone: (delayMs) => {
      if (!isOver) schedule(delayMs, sendNext);
    },
  };
};
