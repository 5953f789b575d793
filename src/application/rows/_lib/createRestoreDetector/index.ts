import { parseRowVersion } from '../../../../domain/rows';
import type { Clock, EventLog } from '../../../ports';

/** Dependencies of a restore detector. */
export interface RestoreDetectorDependencies {
  readonly table: string;
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
  readonly log: EventLog;
}

/** Detects that the store was restored from a backup, by the era in its versions. */
export interface RestoreDetector {
  /** Records the version of a full read; true if its era is later than that of the held rows. */
  recordSnapshot(version: number, heldVersion: number): boolean;
  /** Monotonic time at which the last restore was detected, or null. */
  readRestoredAtMs(): number | null;
}

/** Creates a restore detector for a table. */
export const createRestoreDetector = ({
  clock,
  log,
  table,
}: RestoreDetectorDependencies): RestoreDetector => {
  let restoredAtMs: number | null = null;
  return {
    recordSnapshot: (version, heldVersion) => {
      const { era, revision } = parseRowVersion(version);
      const held = parseRowVersion(heldVersion);
      const isFirst = heldVersion === 0;
      if (!isFirst && era <= held.era) return false;
      const before = isFirst ? 'none' : held.era;
      log.info('store era', { table, era, revision, before, heldRevision: held.revision });
      if (!isFirst) restoredAtMs = clock.readMonotonicMs();
      return !isFirst;
    },
    readRestoredAtMs: () => restoredAtMs,
  };
};
