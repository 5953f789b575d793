import type { Clock } from '../../../src/application/ports';

/** How a VM is paused: `stopped`, both clocks run on; `suspended`, only the wall clock does. */
export type PauseMode = 'stopped' | 'suspended';

/** The clock of a VM that can be paused. */
export interface VmClock extends Clock {
  pause(how: PauseMode): void;
  resume(): void;
  /** Runs the callback now, or once the VM resumes. */
  runInVm(callback: () => void): void;
}

/** Creates the clock of one VM on top of the clock that all VMs share. */
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
    readIdleMs: clock.readIdleMs,
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
