import type { Clock } from '../../../src/application/ports';

/** How a VM stands still: `stopped`, its steady clock goes on; `suspended`, only the time of day. */
export type PauseMode = 'stopped' | 'suspended';

/** The clock of a VM that can stand still. */
export interface VmClock extends Clock {
  pause(how: PauseMode): void;
  resume(): void;
  /** Runs now, or once the VM goes on. */
  runInVm(callback: () => void): void;
}

/** Creates the clock of one VM over the clock of all. */
export const createVmClock = (clock: Clock): VmClock => {
  let pausedAtMs: number | null = null;
  let how: PauseMode = 'stopped';
  let suspendedMs = 0;
  let held: (() => void)[] = [];

  const runInVm = (callback: () => void): void => {
    if (pausedAtMs === null) callback();
    else held.push(callback);
  };

  return {
    readWallMs: clock.readWallMs,
    readMonotonicMs: () => clock.readMonotonicMs() - suspendedMs,
    startTimer: (delayMs, callback) => {
      let isCancelled = false;
      const cancel = clock.startTimer(delayMs, () =>
        runInVm(() => {
          if (!isCancelled) callback();
        }),
      );
      return () => {
        isCancelled = true;
        cancel();
      };
    },
    pause: (next) => {
      pausedAtMs ??= clock.readMonotonicMs();
      how = next;
    },
    resume: () => {
      if (pausedAtMs === null) return;
      if (how === 'suspended') suspendedMs += clock.readMonotonicMs() - pausedAtMs;
      pausedAtMs = null;
      const callbacks = held;
      held = [];
      callbacks.forEach((callback) => callback());
    },
    runInVm,
  };
};
