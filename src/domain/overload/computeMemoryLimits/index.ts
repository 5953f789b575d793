import { MemoryUse, type MemoryLimits } from '../types';

/** Sizes from which the limits of held bytes follow. */
export interface MemorySizes {
  /** Memory beyond which the process is killed. */
  readonly memoryBytes: number;
  /** Memory that the process takes without requests. */
  readonly baseBytes: number;
}

/** Part of the free memory at which bytes of each use are refused. */
const FRACTION_BY_USE: MemoryLimits = {
  [MemoryUse.Stream]: 0.3,
  [MemoryUse.Call]: 0.45,
  [MemoryUse.Answer]: 0.6,
  [MemoryUse.LargeAnswer]: 0.3,
};

/**
 * Least part of the memory that counts as free: a process whose base is almost all of its memory
 * must still serve requests, and part of its base is garbage that the runtime can free.
 */
const MIN_FREE_FRACTION = 0.125;

/**
 * Computes the limits of held bytes. Streams are refused before calls, and answers to requests that
 * were sent are taken longest. The rest is left for the heap and for copies while bytes are joined.
 *
 * @example
 * computeMemoryLimits({ memoryBytes: 300, baseBytes: 100 }); // { stream: 60, call: 90, answer: 120 }
 */
export const computeMemoryLimits = ({ baseBytes, memoryBytes }: MemorySizes): MemoryLimits => {
  const freeBytes = Math.max(memoryBytes - baseBytes, memoryBytes * MIN_FREE_FRACTION);
  return {
    [MemoryUse.Stream]: freeBytes * FRACTION_BY_USE.stream,
    [MemoryUse.Call]: freeBytes * FRACTION_BY_USE.call,
    [MemoryUse.Answer]: freeBytes * FRACTION_BY_USE.answer,
    [MemoryUse.LargeAnswer]: freeBytes * FRACTION_BY_USE[MemoryUse.LargeAnswer],
  };
};
