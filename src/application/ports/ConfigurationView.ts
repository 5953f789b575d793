import type { VersionedConfiguration } from '../../domain/types';

/** The configuration in force at this VM. Its version never goes down. */
export interface ConfigurationView {
  /** The newest known, or null before the first was read. */
  readCurrent(): VersionedConfiguration | null;
  /** Calls `listener` after each change; the returned function stops that. */
  addListener(listener: (current: VersionedConfiguration) => void): () => void;
}
