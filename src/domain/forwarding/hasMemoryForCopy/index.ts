import type { ServerReport } from '../types';

/**
 * Highest use of a server's KV memory including the copy. Above it, copies take memory from runs:
 * when half of the engines were lost in a burst, 98 runs were preempted and prefilled again.
 */
const MAX_MEMORY_FRACTION = 0.7;

/**
 * Tells whether a server has enough KV memory for a copy besides its running and waiting runs.
 *
 * @param maxFraction - highest use of the memory, where more is known than the report says
 * @returns true if the server reports no memory
 */
export const hasMemoryForCopy = (
  report: Pick<ServerReport, 'kvTotalTokens' | 'kvUsedTokens' | 'waiting'>,
  neededKvTokens: number,
  maxFraction = MAX_MEMORY_FRACTION,
): boolean =>
  report.kvTotalTokens === 0 ||
  report.kvUsedTokens + (report.waiting + 1) * neededKvTokens <= report.kvTotalTokens * maxFraction;
