import { REVISIONS_PER_ERA, type RowPosition } from '../computeRowVersion';

/** Splits a version computed by `computeRowVersion` into era and revision. */
export const parseRowVersion = (version: number): RowPosition => ({
  era: Math.floor(version / REVISIONS_PER_ERA),
  revision: version % REVISIONS_PER_ERA,
});
