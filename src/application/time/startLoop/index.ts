import type { Clock } from '../../ports';

/** What a loop does. */
export interface LoopOptions {
  readonly clock: Pick<Clock, 'startTimer'>;
  readonly firstDelayMs: number;
  /** Does one step; returns how long until the next one, in milliseconds, or null for no other. */
  readonly runStep: () => Promise<number | null>;
  /** Takes why a step failed unexpectedly; returns as a step does. */
  readonly handleFailure: (reason: string) => number | null;
}

/** A step that is due at once still lets others run before it. */
const MIN_DELAY_MS = 1;

/**
 * Starts to repeat a step, one after the other: the next one is due some time after the last ended.
 *
 * @returns ends the loop; a step that runs goes on to its end
 */
export const startLoop = ({
  clock,
  firstDelayMs,
  handleFailure,
  runStep,
}: LoopOptions): (() => void) => {
  let isStopped = false;
  let cancelTimer = (): void => undefined;

  function schedule(delayMs: number): void {
    cancelTimer = clock.startTimer(Math.max(MIN_DELAY_MS, delayMs), () => {
      runStep()
        .catch((error: unknown) =>
          handleFailure(error instanceof Error ? error.message : 'unknown'),
        )
        .then((nextMs) => {
          if (!isStopped && nextMs !== null) schedule(nextMs);
        });
    });
  }
  schedule(firstDelayMs);
  return () => {
    isStopped = true;
    cancelTimer();
  };
};
