import { parseRowVersion } from '../../../../domain/rows';
import type { Clock, EventLog } from '../../../ports';

/** What a record of eras needs. */
export interface RestoreDetectorDependencies {
  readonly table: string;
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
  readonly log: EventLog;
}

/** Knows when it showed that the store came back from a copy. */
export interface RestoreDetector {
  /** Takes the version of all rows of a table; true if they are of a later era than those held. */
  recordSnapshot(version: number, heldVersion: number): boolean;
  /** Monotonic time at which it showed last, or null. */
  readRestoredAtMs(): number | null;
}

/** Creates the record of a table; the store has not come back from a copy. */
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
