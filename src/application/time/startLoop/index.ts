import type { Clock } from '../../ports';

/** Options of a loop. */
export interface LoopOptions {
  readonly clock: Pick<Clock, 'startTimer'>;
  readonly firstDelayMs: number;
  /** Runs one step; returns the delay until the next one in milliseconds, or null to end. */
  readonly runStep: () => Promise<number | null>;
  /** Handles an unexpected failure of a step; returns the delay or null, as `runStep` does. */
  readonly handleFailure: (reason: string) => number | null;
}

/** Lets other tasks run before a step that is due at once. */
const MIN_DELAY_MS = 1;

/**
 * Starts a loop of steps that never overlap: each delay counts from the end of the previous step.
 *
 * @returns a function that ends the loop; a running step still completes
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
