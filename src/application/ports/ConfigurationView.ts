import type { VersionedConfiguration } from '../../domain/types';

/** The configuration in force at this VM. Its version never goes down. */
export interface ConfigurationView {
  /** Returns the newest known configuration, or null before the first was read. */
  readCurrent(): VersionedConfiguration | null;
  /** Calls `listener` after each change; the returned function removes the listener. */
  addListener(listener: (current: VersionedConfiguration) => void): () => void;
}
