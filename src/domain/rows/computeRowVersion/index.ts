/** Position of a change in the history of a store. */
export interface RowPosition {
  /** Increases each time the store is restored from a backup, which may lack changes. */
  readonly era: number;
  /** Number of the change, which may fall back with a new era; 0 if nothing was ever written. */
  readonly revision: number;
}

/** Revisions of one era; versions of up to 2^20 eras are safe integers. */
export const REVISIONS_PER_ERA = 2 ** 32;

/**
 * Computes the version of a row, which only increases.
 *
 * A change of a later era is newer than all changes of earlier eras, regardless of its revision. A
 * store without any change has version 0 in each era.
 *
 * @example
 * computeRowVersion({ era: 0, revision: 7 }); // 7
 */
export const computeRowVersion = ({ era, revision }: RowPosition): number =>
  revision === 0 ? 0 : era * REVISIONS_PER_ERA + revision;
