import type { LeaseRow } from './LeaseRow';

/** The newest lease row that this VM has read, and since when its revision is known. */
export interface LeaseObservation {
  /** Null if there is no row yet. */
  readonly row: LeaseRow | null;
  /** Monotonic time after the first read that returned this revision, in milliseconds. */
  readonly firstSeenAtMs: number;
}
