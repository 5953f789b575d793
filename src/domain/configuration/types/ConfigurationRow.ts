import type { VersionedConfiguration } from '../../types';

/** A version's row in the table. The version is accepted if and only if its row exists. */
export interface ConfigurationRow extends VersionedConfiguration {
  /** Unique to one apply: tells one's own write apart after a lost reply. */
  readonly applyId: string;
}
