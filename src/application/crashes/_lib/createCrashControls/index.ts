import { isPartFingerprint, type RunOutcome } from '../../../../domain/crashes';
import { createBoundedMap } from '../../../_lib/createBoundedMap';

/** What a part's crashes are compared with. */
export interface CrashControl {
  /** Time of the first crash that is weighed, in monotonic milliseconds. */
  readonly sinceMs: number;
  /** Complete runs of this VM without the part since then. */
  readonly otherAnswers: number;
}

/** Counts, for each suspected part, the runs without it in the time of its crashes. */
export interface CrashControls {
  /** Takes note of a crash; the first one of a part, or after a long time, starts its count. */
  recordCrash(crash: RunOutcome): void;
  /** Counts a complete run with these parts, by their fingerprints. */
  recordWholeRun(parts: readonly string[]): void;
  /** Reads the control of a part; null if no crash of it is known. */
  readControl(part: string): CrashControl | null;
}

/** Runs of this VM since the first crash under a part. */
interface Count {
  readonly sinceMs: number;
  readonly lastCrashAtMs: number;
  /** Complete runs of this VM before the first crash. */
  readonly earlierRuns: number;
  /** Complete runs with the part since then. */
  readonly ownRuns: number;
}

const MAX_PARTS = 1000;

/** Crashes that are further apart than this are not weighed together: servers change meanwhile. */
const MAX_GAP_MS = 60_000;

/** Creates the controls of a VM that knows of no crash. */
export const createCrashControls = (): CrashControls => {
  const counts = createBoundedMap<Count>(MAX_PARTS);
  let runs = 0;

  return {
    recordCrash: ({ atMs, fingerprint }) => {
      if (!isPartFingerprint(fingerprint)) return;
      const known = counts.get(fingerprint);
      const count =
        known && atMs - known.lastCrashAtMs <= MAX_GAP_MS
          ? known
          : { sinceMs: atMs, lastCrashAtMs: atMs, earlierRuns: runs, ownRuns: 0 };
      const lastCrashAtMs = Math.max(count.lastCrashAtMs, atMs);
      counts.set(fingerprint, {
        ...count,
        sinceMs: Math.min(count.sinceMs, atMs),
        lastCrashAtMs,
      });
    },
    recordWholeRun: (parts) => {
      runs += 1;
      parts.forEach((part) => {
        const count = counts.get(part);
        if (count) counts.set(part, { ...count, ownRuns: count.ownRuns + 1 });
      });
    },
    readControl: (part) => {
      const count = counts.get(part);
      if (!count) return null;
      const { earlierRuns, ownRuns, sinceMs } = count;
      return { sinceMs, otherAnswers: runs - earlierRuns - ownRuns };
    },
  };
};
