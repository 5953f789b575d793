import { MemoryUse, type MemoryLimits } from '../../../domain/overload';
import type { EventLog } from '../../ports';

/** Bytes that are held for one request. */
export interface HeldBytes {
  /** Counts further bytes; false, and nothing is counted, if this VM has no room for them. */
  acquire(use: MemoryUse, bytes: number): boolean;
  /** Sets how many bytes of the answer have been written and not sent yet. */
  recordUnsent(bytes: number): void;
  /** Gives back all bytes of the request. */
  release(): void;
}

/** Counts the bytes that a VM holds for requests, and bounds them. */
export interface MemoryBudget {
  openRequest(): HeldBytes;
  readHeldBytes(): number;
  /** Number of requests that got no room since the start. */
  countRefused(): number;
}

/** Dependencies of a memory budget. */
export interface MemoryBudgetDependencies {
  /** Null: nothing is bounded. */
  readonly limits: MemoryLimits | null;
  readonly log: EventLog;
}

/** The VM has recovered once it holds less than this part of the lowest limit. */
const RECOVERED_FRACTION = 0.5;

/** Creates a memory budget with nothing held. */
export const createMemoryBudget = ({ limits, log }: MemoryBudgetDependencies): MemoryBudget => {
  let heldBytes = 0;
  let largeBytes = 0;
  let refused = 0;
  let isOverloaded = false;

  const logChange = (message: string): void => {
    log.warn(message, { cause: 'memory', heldBytes, limitBytes: limits?.stream ?? 0, refused });
  };
  const recordRefusal = (): void => {
    refused += 1;
    if (isOverloaded) return;
    isOverloaded = true;
    logChange('gateway overloaded');
  };
  const addHeld = (bytes: number): void => {
    heldBytes += bytes;
    if (!isOverloaded || heldBytes > (limits?.stream ?? Infinity) * RECOVERED_FRACTION) return;
    isOverloaded = false;
    logChange('gateway recovered');
  };
  // A request alone is always taken: a limit below its size would refuse it forever.
  const hasRoom = (use: MemoryUse, bytes: number, ownBytes: number): boolean =>
    !limits || heldBytes === ownBytes || heldBytes + bytes <= limits[use];
  const hasLargeRoom = (bytes: number, ownBytes: number): boolean =>
    !limits || largeBytes === ownBytes || largeBytes + bytes <= limits[MemoryUse.LargeAnswer];

  return {
    openRequest: () => {
      let acquiredBytes = 0;
      let acquiredLargeBytes = 0;
      let unsentBytes = 0;
      let isReleased = false;
      return {
        acquire: (use, bytes) => {
          if (isReleased) return true;
          const isLarge = use === MemoryUse.LargeAnswer;
          // Refused alone, other requests still find room: the VM is not overloaded.
          if (isLarge && !hasLargeRoom(bytes, acquiredLargeBytes)) return false;
          const totalUse = isLarge ? MemoryUse.Answer : use;
          if (!hasRoom(totalUse, bytes, acquiredBytes + unsentBytes)) {
            recordRefusal();
            return false;
          }
          acquiredBytes += bytes;
          if (isLarge) {
            acquiredLargeBytes += bytes;
            largeBytes += bytes;
          }
          addHeld(bytes);
          return true;
        },
        recordUnsent: (bytes) => {
          if (isReleased) return;
          addHeld(bytes - unsentBytes);
          unsentBytes = bytes;
        },
        release: () => {
          if (isReleased) return;
          isReleased = true;
          largeBytes -= acquiredLargeBytes;
          addHeld(-acquiredBytes - unsentBytes);
        },
      };
    },
    readHeldBytes: () => heldBytes,
    countRefused: () => refused,
  };
};
