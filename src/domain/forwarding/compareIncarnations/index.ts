/** Order of a reported incarnation of a server relative to the known one with the same id. */
export type IncarnationOrder = 'same' | 'newer' | 'older';

/**
 * Compares the start times of two incarnations of a server.
 *
 * A server may restart under its old id; its runs, KV cache copies and load are lost then. An
 * unknown start time counts as the same incarnation.
 *
 * @param knownBornMs - start of the known incarnation in Unix milliseconds; null if unknown
 * @param reportedBornMs - start of the reported incarnation in Unix milliseconds; null if unknown
 *
 * @example
 * compareIncarnations(1000, 2000); // 'newer'
 */
export const compareIncarnations = (
  knownBornMs: number | null,
  reportedBornMs: number | null,
): IncarnationOrder => {
  if (knownBornMs === null || reportedBornMs === null || knownBornMs === reportedBornMs)
    return 'same';
  return reportedBornMs > knownBornMs ? 'newer' : 'older';
};
