/** Where a change stands in the history of a store. */
export interface RowPosition {
  /** Grows each time that the store comes back from a copy, which may lack changes. */
  readonly era: number;
  /** Number of the change, which goes back with each era; 0: nothing was ever written. */
  readonly revision: number;
}

/** Revisions of one era; those of 2^20 eras are exact numbers. */
export const REVISIONS_PER_ERA = 2 ** 32;

/**
 * Computes the version of a row, which only grows: a change of a later era is newer than all of those
 * before, whatever its revision. A store without any change has the version 0 in each era.
 *
 * @example
 * computeRowVersion({ era: 0, revision: 7 }); // 7
 */
export const computeRowVersion = ({ era, revision }: RowPosition): number =>
  revision === 0 ? 0 : era * REVISIONS_PER_ERA + revision;
