import {
  countCrashedServers,
  findNewestMs,
  judgeCrashes,
  judgeCrashRate,
  judgeCrashShare,
  listCrashedServers,
  SAME_CAUSE_MS,
  type CrashedServer,
  type CrashShareVerdict,
  type CrashSuspect,
  type RunOutcome,
} from '../../../../domain/crashes';
import { createBoundedMap } from '../../../_lib/createBoundedMap';
import type { Clock } from '../../../ports';
import type { CrashControl, CrashControls } from '../createCrashControls';
import type { OutcomeStore } from '../createOutcomeStore';

/** Dependencies of the judge. */
export interface ShareJudgeDependencies {
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
  readonly controls: Pick<CrashControls, 'readControl'>;
  readonly outcomes: Pick<OutcomeStore, 'list' | 'listFingerprints'>;
  /** True if this server incarnation answered this VM after that time, and so did not crash. */
  readonly hasAnsweredSince: (server: string, atMs: number) => boolean;
  /** Called with the newest crash of a part once this VM finds it responsible. */
  readonly handleHeld: (crash: RunOutcome) => void;
  /** Called with a part that is responsible no more. */
  readonly handleReleased: (part: string) => void;
}

/** Judges prompt parts that crash servers in some of their runs. */
export interface ShareJudge {
  /** Lists the crashes for which a part is responsible; empty if chance explains them. */
  listCrashes(part: string): readonly RunOutcome[];
  /** True if the part was responsible when its crashes were last listed. */
  isHeld(part: string): boolean;
  /** Holds a part responsible, as another VM does; returns false if it is held already. */
  mergeVerdict(part: string): boolean;
  /** Reads what was last found of the part in comparison with all others; null if it was not compared. */
  readFinding(part: string): CrashShareVerdict | null;
}

/** Time for which a verdict stands: each request asks for it, and runs count all the time. */
const VERDICT_MS = 250;

const MAX_VERDICTS = 1000;

interface Verdict {
  readonly atMs: number;
  readonly crashes: readonly RunOutcome[];
}

/** Creates the judge over the given outcomes. */
export const createShareJudge = ({
  clock,
  controls,
  handleHeld,
  handleReleased,
  hasAnsweredSince,
  outcomes,
}: ShareJudgeDependencies): ShareJudge => {
  const verdicts = createBoundedMap<Verdict>(MAX_VERDICTS);
  const held = new Set<string>();
  const findings = createBoundedMap<CrashShareVerdict>(MAX_VERDICTS);

  const isCrash = ({ atMs, hasCrashed, isConfirmed, server }: RunOutcome): boolean =>
    hasCrashed && isConfirmed && !hasAnsweredSince(server, atMs);

  const countAnswers = (part: string, { answers, sinceMs }: CrashControl): number => {
    const isTold = ({ atMs, hasCrashed }: RunOutcome): boolean => !hasCrashed && atMs >= sinceMs;
    return Math.max(answers, outcomes.list(part).filter(isTold).length);
  };

  /**
   * Finds the end of the time in which a part is compared with others. One that is refused has no runs:
   * what others lose meanwhile says nothing of it.
   */
  const findComparisonEndMs = (part: string): number =>
    held.has(part) ? findNewestMs(outcomes.list(part)) + SAME_CAUSE_MS : Infinity;

  const listServersBetween = (fromMs: number, untilMs: number): readonly CrashedServer[] =>
    listCrashedServers(
      outcomes
        .listFingerprints()
        .flatMap(outcomes.list)
        .filter(({ atMs }) => atMs >= fromMs && atMs <= untilMs)
        .filter(isCrash),
    );

  /** Lists the parts that ran on any of the servers. */
  const listSuspects = (servers: readonly CrashedServer[]): readonly CrashSuspect[] => {
    const counts = new Map<string, number>();
    servers.forEach(({ parts }) =>
      [...parts.keys()].forEach((part) => counts.set(part, (counts.get(part) ?? 0) + 1)),
    );
    return [...counts].map(([fingerprint, count]) => {
      const control = controls.readControl(fingerprint);
      const answers = control ? countAnswers(fingerprint, control) : 0;
      return { fingerprint, servers: count, answers };
    });
  };

  /** Compares the crashes with all others, which takes a look at all outcomes. */
  const judgeAll = (
    part: string,
    crashes: readonly RunOutcome[],
    control: CrashControl,
  ): boolean => {
    const servers = listServersBetween(control.sinceMs, findComparisonEndMs(part));
    const suspects = listSuspects(servers);
    const suspect = suspects.find(({ fingerprint }) => fingerprint === part);
    const others = suspects.filter((one) => one !== suspect);
    if (!suspect) return false;
    const finding = judgeCrashShare({ ...control, suspect, crashes, others, servers, held });
    findings.set(part, finding);
    return finding.isResponsible;
  };

  const isResponsible = (
    part: string,
    crashes: readonly RunOutcome[],
    control: CrashControl,
  ): boolean => {
    const bestEvidence = {
      crashes: countCrashedServers(crashes),
      answers: countAnswers(part, control),
      otherCrashes: 0,
      otherAnswers: control.otherAnswers,
    };
    return (
      judgeCrashRate(bestEvidence, { isHeld: held.has(part) }) && judgeAll(part, crashes, control)
    );
  };

  /** Finds the crashes for which a part is responsible; null if too few are known to tell. */
  const findCrashes = (part: string): readonly RunOutcome[] | null => {
    const control = controls.readControl(part);
    if (!control) return null;
    const crashes = outcomes
      .list(part)
      .filter((outcome) => outcome.atMs >= control.sinceMs && isCrash(outcome));
    if (!judgeCrashes(crashes, { isPart: true, hasAnswer: false })) return null;
    return isResponsible(part, crashes, control) ? crashes : [];
  };

  const recordVerdict = (part: string, crashes: readonly RunOutcome[]): void => {
    const newest = crashes.at(-1);
    if (newest && !held.has(part)) {
      held.add(part);
      handleHeld(newest);
    } else if (!newest && held.delete(part)) handleReleased(part);
  };

  return {
    listCrashes: (part) => {
      const nowMs = clock.readMonotonicMs();
      const known = verdicts.get(part);
      if (known && nowMs - known.atMs < VERDICT_MS) return known.crashes;
      const found = findCrashes(part);
      const crashes = found ?? [];
      verdicts.set(part, { atMs: nowMs, crashes });
      // A VM that has just started may be told of a verdict before it knows all crashes.
      if (found) recordVerdict(part, found);
      return crashes;
    },
    isHeld: (part) => held.has(part),
    readFinding: (part) => findings.get(part) ?? null,
    mergeVerdict: (part) => {
      if (held.has(part)) return false;
      held.add(part);
      verdicts.delete(part);
      return true;
    },
  };
};
