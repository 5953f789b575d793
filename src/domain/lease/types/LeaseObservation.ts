import type { LeaseRow } from './LeaseRow';

/** A lease row as one VM saw it. */
export interface LeaseObservation {
  /** Null: there is no row yet. */
  readonly row: LeaseRow | null;
  /** Monotonic time of this VM after the read in which it first saw this revision, in ms. */
  readonly firstSeenAtMs: number;
}
