/** Versions of the store's changes that are known from two tables. */
export interface KnownVersions {
  /** Version up to which this table is complete. */
  readonly held: number;
  /** Newest version of the store, from an answer for another table. */
  readonly newest: number;
  /** Versions of the other table's rows in that answer. */
  readonly otherRowVersions: readonly number[];
}

/**
 * Tells whether changes of this table may be missing.
 *
 * The store numbers the changes of all tables with one counter. A newer version that is not a
 * change of the other table may be one of this table.
 *
 * @example
 * hasMissedRows({ held: 7, newest: 9, otherRowVersions: [8, 9] }); // false
 * hasMissedRows({ held: 7, newest: 9, otherRowVersions: [9] }); // true
 */
export const hasMissedRows = ({ held, newest, otherRowVersions }: KnownVersions): boolean =>
  new Set(otherRowVersions.filter((version) => version > held)).size < newest - held;
