import type { Configuration } from './Configuration';

/** A configuration as committed to the table. The first version is 1; 0 means none. */
export interface VersionedConfiguration {
  readonly version: number;
  readonly configuration: Configuration;
  /** Wall time of the commit, milliseconds since the epoch. */
  readonly appliedAtMs: number;
  readonly appliedBy: string;
  readonly comment: string;
}
