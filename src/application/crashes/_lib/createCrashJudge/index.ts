import {
  computeTrialPauseMs,
  countNeededCrashes,
  findNewestMs,
  findResponsibleParts,
  isPartFingerprint,
  judgeCrashes,
  judgeRequestCrashes,
  listUnansweredCrashes,
  type CrashShareVerdict,
  type RunOutcome,
} from '../../../../domain/crashes';
import type { CrashCause, RequestPrints } from '../../types';
import type { OutcomeStore } from '../createOutcomeStore';
import { createShareJudge, type ShareJudgeDependencies } from '../createShareJudge';

/** Dependencies of the judge. */
export interface CrashJudgeDependencies extends ShareJudgeDependencies {
  readonly outcomes: Pick<OutcomeStore, 'isEmpty' | 'list' | 'listFingerprints'>;
  readonly retentionMs: number;
}

/** Judges by recent outcomes which requests may be sent. */
export interface CrashJudge {
  /** True if an answer refutes crashes. */
  isAnswerNeeded(answer: RunOutcome): boolean;
  /** True if a part was last found to crash servers more often than chance explains. */
  isHeldResponsible(part: string): boolean;
  /** Holds a part responsible, as another VM does; returns false if it is held already. */
  mergeVerdict(part: string): boolean;
  /** Reads what was last found of a part in comparison with all others; null if it was not compared. */
  readFinding(part: string): CrashShareVerdict | null;
  /** Lists the crashes that count against a fingerprint. */
  listCrashes(fingerprint: string): readonly RunOutcome[];
  /** Lists those for which it is in quarantine; empty if it is not. */
  listQuarantineCrashes(fingerprint: string): readonly RunOutcome[];
  isQuarantined(fingerprint: string): boolean;
  /** True if requests with the fingerprint are refused, in quarantine or for a moment. */
  isHeldBack(fingerprint: string): boolean;
  countNeeded(fingerprint: string): number;
  findCause(prints: RequestPrints): CrashCause | null;
  listResponsibleParts(): readonly string[];
}

/** Least number of crashes of a responsible part; the first trial after as many follows soonest. */
const MIN_CRASHES = countNeededCrashes({ isPart: true, hasAnswer: false });

/** Creates the judge over the given outcomes. */
export const createCrashJudge = (dependencies: CrashJudgeDependencies): CrashJudge => {
  const { clock, hasAnsweredSince, outcomes, retentionMs } = dependencies;
  const shareJudge = createShareJudge(dependencies);

  const listCrashes = (fingerprint: string): readonly RunOutcome[] =>
    listUnansweredCrashes(outcomes.list(fingerprint)).filter(
      ({ atMs, isLate, server }) => isLate !== true && !hasAnsweredSince(server, atMs),
    );

  const readOptions = (fingerprint: string): Parameters<typeof judgeCrashes>[1] => ({
    isPart: isPartFingerprint(fingerprint),
    hasAnswer: outcomes.list(fingerprint).some(({ hasCrashed }) => !hasCrashed),
  });

  const listPartCrashes = (part: string): readonly RunOutcome[] => {
    if (outcomes.list(part).length < MIN_CRASHES) return [];
    const unanswered = listCrashes(part);
    const crashes = judgeCrashes(unanswered, readOptions(part))
      ? unanswered
      : shareJudge.listCrashes(part);
    const isRecent = clock.readMonotonicMs() < findNewestMs(crashes) + retentionMs;
    return isRecent ? crashes : [];
  };

  const listQuarantineCrashes = (fingerprint: string): readonly RunOutcome[] => {
    if (isPartFingerprint(fingerprint)) return listPartCrashes(fingerprint);
    const crashes = listCrashes(fingerprint);
    return judgeRequestCrashes(crashes, clock.readMonotonicMs())?.isCertain ? crashes : [];
  };

  const countNeeded = (fingerprint: string): number =>
    isPartFingerprint(fingerprint) && shareJudge.listCrashes(fingerprint).length > 0
      ? MIN_CRASHES
      : countNeededCrashes(readOptions(fingerprint));

  const isQuarantined = (fingerprint: string): boolean =>
    listQuarantineCrashes(fingerprint).length > 0;

  const listResponsibleParts = (): readonly string[] =>
    outcomes.listFingerprints().filter((one) => isPartFingerprint(one) && isQuarantined(one));

  const findPartCause = (parts: readonly string[]): CrashCause | null => {
    if (!parts.some(isQuarantined)) return null;
    const suspected = listResponsibleParts();
    const found = findResponsibleParts(parts, {
      crashesByPart: new Map(suspected.map((part) => [part, listQuarantineCrashes(part)])),
      unanswered: new Set(suspected.filter((part) => !readOptions(part).hasAnswer)),
      judgedByShare: new Set(suspected.filter(shareJudge.isHeld)),
    });
    const [first, ...others] = found?.fingerprints ?? [];
    if (!found || first === undefined) return null;
    const { crashes, lastCrashAtMs } = found;
    const neededCrashes = Math.max(...found.fingerprints.map(countNeeded));
    const trialPauseMs = computeTrialPauseMs({ crashes, neededCrashes });
    const endMs = lastCrashAtMs + Math.min(trialPauseMs, retentionMs);
    return {
      kind: 'part',
      isCertain: true,
      fingerprints: [first, ...others],
      crashes,
      remainingMs: Math.max(0, endMs - clock.readMonotonicMs()),
      trialPauseMs,
      unconfirmed: [],
    };
  };

  const findRequestCause = (fingerprint: string): CrashCause | null => {
    const crashes = listCrashes(fingerprint);
    const verdict = judgeRequestCrashes(crashes, clock.readMonotonicMs());
    if (!verdict) return null;
    const unconfirmed = crashes.filter(({ isConfirmed }) => !isConfirmed);
    return { kind: 'request', fingerprints: [fingerprint], ...verdict, unconfirmed };
  };

  return {
    isAnswerNeeded: (answer) => {
      const crashes = listCrashes(answer.fingerprint);
      return listUnansweredCrashes([...crashes, answer]).length < crashes.length;
    },
    isHeldResponsible: shareJudge.isHeld,
    mergeVerdict: shareJudge.mergeVerdict,
    readFinding: shareJudge.readFinding,
    listCrashes,
    listQuarantineCrashes,
    isQuarantined,
    isHeldBack: (fingerprint) =>
      isPartFingerprint(fingerprint)
        ? isQuarantined(fingerprint)
        : findRequestCause(fingerprint) !== null,
    countNeeded,
    findCause: ({ parts, request }) =>
      outcomes.isEmpty() ? null : (findRequestCause(request) ?? findPartCause(parts)),
    listResponsibleParts,
  };
};
