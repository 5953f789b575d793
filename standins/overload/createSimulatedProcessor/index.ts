import type { Clock } from '../../../src/application/ports';

/** One core in virtual time, which does one piece of work after the other. */
export interface SimulatedProcessor {
  /** Clock whose timers run late while there is work to do. */
  readonly clock: Pick<Clock, 'readMonotonicMs' | 'startTimer'>;
  /** Calls `handleDone` when all earlier work and this is done. */
  run(costMs: number, handleDone: () => void): void;
}

/** Creates an idle processor. */
export const createSimulatedProcessor = (clock: Clock): SimulatedProcessor => {
  let freeAtMs = 0;
  const run: SimulatedProcessor['run'] = (costMs, handleDone) => {
    freeAtMs = Math.max(freeAtMs, clock.readMonotonicMs()) + costMs;
    clock.startTimer(freeAtMs - clock.readMonotonicMs(), handleDone);
  };
  return {
    run,
    clock: {
      readMonotonicMs: clock.readMonotonicMs,
      startTimer: (delayMs, callback) => {
        let isCancelled = false;
        const cancel = clock.startTimer(delayMs, () =>
          run(0, () => {
            if (!isCancelled) callback();
          }),
        );
        return () => {
          isCancelled = true;
          cancel();
        };
      },
    },
  };
};
