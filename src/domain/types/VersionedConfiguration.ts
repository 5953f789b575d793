import type { Configuration } from './Configuration';

/** A configuration as committed in the table: version 1 is the first, 0 means none yet. */
export interface VersionedConfiguration {
  readonly version: number;
  readonly configuration: Configuration;
  /** Wall time of the commit, milliseconds since the epoch. */
  readonly appliedAtMs: number;
  readonly appliedBy: string;
  readonly comment: string;
}
