import type { Clock } from '../../../ports';

/** Why a request stops waiting. */
export type WaitEnd = 'deadline' | 'left';

/** The end of everything that a request waits for. */
export interface WaitLimit {
  readonly ended: Promise<WaitEnd>;
  /** Stops watching; `ended` does not resolve any more. */
  cancel(): void;
}

/** Starts the limit of a request's waits: its deadline, or the moment at which its caller leaves. */
export const startWaitLimit = (
  clock: Pick<Clock, 'readMonotonicMs' | 'startTimer'>,
  deadlineAtMs: number,
  callerLeft: AbortSignal,
): WaitLimit => {
  let end: (reason: WaitEnd) => void = () => undefined;
  const ended = new Promise<WaitEnd>((resolve) => {
    end = resolve;
  });
  const leave = (): void => end('left');
  if (callerLeft.aborted) leave();
  callerLeft.addEventListener('abort', leave, { once: true });
  const cancelTimer = clock.startTimer(Math.max(0, deadlineAtMs - clock.readMonotonicMs()), () =>
    end('deadline'),
  );
  return {
    ended,
    cancel: () => {
      cancelTimer();
      callerLeft.removeEventListener('abort', leave);
    },
  };
};
