/** What two tables know of the store's versions. */
export interface KnownVersions {
  /** Version up to which no change of this table is missing. */
  readonly held: number;
  /** The store's newest version, as an answer for another table named it. */
  readonly newest: number;
  /** Versions of the rows in that answer. */
  readonly otherRowVersions: readonly number[];
}

/**
 * Tells whether changes of this table may be missing: the store numbers the changes of all its
 * tables from one counter, and not all up to the newest one are changes of the other table.
 *
 * @example
 * hasMissedRows({ held: 7, newest: 9, otherRows: [8, 9] }); // false
 * hasMissedRows({ held: 7, newest: 9, otherRows: [9] }); // true
 */
export const hasMissedRows = ({ held, newest, otherRowVersions }: KnownVersions): boolean =>
  new Set(otherRowVersions.filter((version) => version > held)).size < newest - held;
