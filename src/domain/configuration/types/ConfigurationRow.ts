import type { VersionedConfiguration } from '../../types';

/** The row of a version in the table. A version is accepted if and only if its row exists. */
export interface ConfigurationRow extends VersionedConfiguration {
  /** Unique to one apply, so that an operator tool recognizes its own write after a lost reply. */
  readonly applyId: string;
}
