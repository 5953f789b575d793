import type { ServerReport } from '../types';

/**
 * Part of a server's KV memory that may be in use, with the copy, for it to take one. Above it the
 * copy takes the place of a run: with half of the engines lost in a burst, 98 runs were put back for
 * lack of memory and read again.
 */
const COPY_MEMORY_PART = 0.7;

/** Tells whether a server has room for a copy beside the runs that it may expect. */
export const hasMemoryForCopy = (report: ServerReport, neededTokens: number): boolean =>
  report.kvTotalTokens === 0 ||
  report.kvUsedTokens + (report.waiting + 1) * neededTokens <=
    report.kvTotalTokens * COPY_MEMORY_PART;
