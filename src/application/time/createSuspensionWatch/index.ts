import type { Clock } from '../../ports';

/** Finds out when the VM was suspended, which the monotonic clock does not count. */
export interface SuspensionWatch {
  /** The monotonic time before which the VM was last suspended; -Infinity if it was not. */
  readSuspendedBeforeMs(): number;
}

/** Both clocks are adjusted alike; only a suspension or a jump of the wall clock sets them apart. */
const MIN_SUSPENSION_MS = 100;

/**
 * Creates the watch. It compares both clocks whenever it is read; a wall clock that jumps forward
 * looks like a suspension.
 */
export const createSuspensionWatch = (
  clock: Pick<Clock, 'readMonotonicMs' | 'readWallMs'>,
): SuspensionWatch => {
  const readOffsetMs = (): number => clock.readWallMs() - clock.readMonotonicMs();
  let offsetMs = readOffsetMs();
  let suspendedBeforeMs = -Infinity;
  return {
    readSuspendedBeforeMs: () => {
      const before = offsetMs;
      offsetMs = readOffsetMs();
      if (offsetMs - before >= MIN_SUSPENSION_MS) suspendedBeforeMs = clock.readMonotonicMs();
      return suspendedBeforeMs;
    },
  };
};
