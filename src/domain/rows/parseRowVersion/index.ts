import { REVISIONS_PER_ERA, type RowPosition } from '../computeRowVersion';

/** Parses the version of a row, as `computeRowVersion` gives it. */
export const parseRowVersion = (version: number): RowPosition => ({
  era: Math.floor(version / REVISIONS_PER_ERA),
  revision: version % REVISIONS_PER_ERA,
});
