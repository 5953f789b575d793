import type { RunOutcome } from '../types';

/**
 * Finds the time of the newest of some outcomes.
 *
 * @returns -Infinity if there is none
 *
 * @example
 * findNewestMs([]); // => -Infinity
 */
export const findNewestMs = (outcomes: readonly Pick<RunOutcome, 'atMs'>[]): number =>
  Math.max(-Infinity, ...outcomes.map(({ atMs }) => atMs));
