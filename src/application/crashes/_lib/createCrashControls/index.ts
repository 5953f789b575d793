import {
  isPartFingerprint,
  type PartTally,
  type RunOutcome,
  type VmRuns,
} from '../../../../domain/crashes';
import { createBoundedMap } from '../../../_lib/createBoundedMap';
import type { Clock } from '../../../ports';

/** What a part's crashes are compared with. */
export interface CrashControl {
  /** Time of the first crash that is weighed, in monotonic milliseconds. */
  readonly sinceMs: number;
  /** Complete runs with the part since then, as far as VMs have told. */
  readonly answers: number;
  /** The same without the part. */
  readonly otherAnswers: number;
  /** Time that runs with the part spent at servers since then unless a crash ended them, in milliseconds. */
  readonly runMs: number;
  /** The same without the part. */
  readonly otherRunMs: number;
}

/** A run that no crash ended. */
export interface EndedRun {
  /** Fingerprints of its prompt parts. */
  readonly parts: readonly string[];
  /** Time that it spent at its server, in milliseconds. */
  readonly runMs: number;
  /** True if it was complete, and sent from its start. */
  readonly isWhole: boolean;
}

/** Counts, for each suspected part, the runs with and without it in the time of its crashes. */
export interface CrashControls {
  /**
   * Takes note of a crash; the first one of a part, or after a long time, starts its count.
   *
   * @param options.isHeld - whether the part is held responsible: its count goes on
   */
  recordCrash(crash: RunOutcome, options: { readonly isHeld: boolean }): void;
  /** Counts a run of this VM. */
  recordRun(run: EndedRun): void;
  /** Reads the control of a part; null if no crash of it is known. */
  readControl(part: string): CrashControl | null;
  /** Lists what is known of the runs of all VMs, for parts that may soon be held responsible. */
  listTallies(ownId: number): readonly PartTally[];
  /** Merges what another VM knows. */
  mergeTallies(tallies: readonly PartTally[], ownId: number): void;
}

/** Complete runs, and the time of all. */
type RunSum = Pick<VmRuns, 'runMs' | 'runs'>;

/** Runs since the first crash under a part. */
interface Count {
  readonly sinceMs: number;
  readonly lastCrashAtMs: number;
  /** Servers that crashed. */
  readonly servers: ReadonlySet<string>;
  /** All runs of this VM before the first crash. */
  readonly earlier: RunSum;
  /** Runs of this VM with the part since then. */
  readonly own: RunSum;
  /** Runs that other VMs told of, by the id of their name. */
  readonly told: ReadonlyMap<number, VmRuns>;
}

const MAX_PARTS = 1000;

/** Crashes that are further apart than this are not weighed together: servers change meanwhile. */
const MAX_GAP_MS = 60_000;

/** VMs exchange the runs of parts under which as many servers crashed, of this many parts. */
const MIN_SHARED_SERVERS = 3;
const MAX_SHARED_PARTS = 8;

/** VMs learn of a first crash within this time of each other; else they count from another one. */
const MAX_START_DIFFERENCE_MS = 10_000;

const NO_RUNS: RunSum = { runs: 0, runMs: 0 };

const sumRuns = (counts: Iterable<VmRuns>): VmRuns =>
  [...counts].reduce(
    (sum, one) => ({
      runs: sum.runs + one.runs,
      otherRuns: sum.otherRuns + one.otherRuns,
      runMs: sum.runMs + one.runMs,
      otherRunMs: sum.otherRunMs + one.otherRunMs,
    }),
    { ...NO_RUNS, otherRuns: 0, otherRunMs: 0 },
  );

const addRun = (sum: RunSum, { isWhole, runMs }: EndedRun): RunSum => ({
  runs: sum.runs + (isWhole ? 1 : 0),
  runMs: sum.runMs + runMs,
});

/** True if a VM tells of runs that were not known yet. */
const isMore = (told: VmRuns, known: VmRuns): boolean =>
  told.runs + told.otherRuns > known.runs + known.otherRuns ||
  told.runMs + told.otherRunMs > known.runMs + known.otherRunMs;

/** Creates the controls of a VM that knows of no crash. */
export const createCrashControls = ({
  clock,
}: {
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
}): CrashControls => {
  const counts = createBoundedMap<Count>(MAX_PARTS);
  /** Parts under which enough servers crashed for their runs to be exchanged. */
  const shared = new Set<string>();
  let all = NO_RUNS;

  const isRecent = ({ lastCrashAtMs }: Count): boolean =>
    clock.readMonotonicMs() - lastCrashAtMs <= MAX_GAP_MS;

  const readOwnRuns = ({ earlier, own }: Count): VmRuns => ({
    ...own,
    otherRuns: all.runs - earlier.runs - own.runs,
    otherRunMs: all.runMs - earlier.runMs - own.runMs,
  });

  const startCount = (atMs: number): Count => ({
    sinceMs: atMs,
    lastCrashAtMs: atMs,
    servers: new Set(),
    earlier: all,
    own: NO_RUNS,
    told: new Map(),
  });

  const mergeTally = ({ ageMs, part, runsByVm }: PartTally, ownId: number): void => {
    const count = counts.get(part);
    if (!count) return;
    const startedAtMs = clock.readMonotonicMs() - ageMs;
    if (Math.abs(startedAtMs - count.sinceMs) > MAX_START_DIFFERENCE_MS) return;
    const told = new Map(count.told);
    runsByVm.forEach((one, vmId) => {
      const known = told.get(vmId);
      if (vmId !== ownId && (!known || isMore(one, known))) told.set(vmId, one);
    });
    counts.set(part, { ...count, told });
  };

  return {
    recordCrash: ({ atMs, fingerprint, server }, { isHeld }) => {
      if (!isPartFingerprint(fingerprint)) return;
      const known = counts.get(fingerprint);
      const goesOn = known && (isHeld || atMs - known.lastCrashAtMs <= MAX_GAP_MS);
      const count = goesOn ? known : startCount(atMs);
      const servers = new Set([...count.servers, server]);
      counts.set(fingerprint, {
        ...count,
        servers,
        sinceMs: Math.min(count.sinceMs, atMs),
        lastCrashAtMs: Math.max(count.lastCrashAtMs, atMs),
      });
      if (servers.size >= MIN_SHARED_SERVERS) shared.add(fingerprint);
      else shared.delete(fingerprint);
    },
    recordRun: (run) => {
      all = addRun(all, run);
      run.parts.forEach((part) => {
        const count = counts.get(part);
        if (count) counts.set(part, { ...count, own: addRun(count.own, run) });
      });
    },
    readControl: (part) => {
      const count = counts.get(part);
      if (!count) return null;
      const { otherRuns, runs, ...times } = sumRuns([readOwnRuns(count), ...count.told.values()]);
      return { sinceMs: count.sinceMs, answers: runs, otherAnswers: otherRuns, ...times };
    },
    listTallies: (ownId) => {
      shared.forEach((part) => {
        const count = counts.get(part);
        if (!count || !isRecent(count)) shared.delete(part);
      });
      return [...shared]
        .flatMap((part) => {
          const count = counts.get(part);
          return count ? [{ part, count }] : [];
        })
        .sort((left, right) => right.count.servers.size - left.count.servers.size)
        .slice(0, MAX_SHARED_PARTS)
        .map(({ count, part }) => ({
          part,
          ageMs: clock.readMonotonicMs() - count.sinceMs,
          runsByVm: new Map([...count.told, [ownId, readOwnRuns(count)]]),
        }));
    },
    mergeTallies: (tallies, ownId) => tallies.forEach((tally) => mergeTally(tally, ownId)),
  };
};
