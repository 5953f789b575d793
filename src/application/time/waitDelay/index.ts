import type { Clock } from '../../ports';

/**
 * Waits for a delay on the given clock.
 *
 * @param delayMs - milliseconds
 *
 * @example
 * await waitDelay(clock, 50);
 */
export const waitDelay = (clock: Pick<Clock, 'startTimer'>, delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    clock.startTimer(delayMs, resolve);
  });
