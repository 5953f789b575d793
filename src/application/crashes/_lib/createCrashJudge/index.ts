import {
  computeTrialPauseMs,
  countCrashedServers,
  countNeededCrashes,
  findNewestMs,
  findResponsibleParts,
  isPartFingerprint,
  judgeCrashes,
  judgeCrashRate,
  judgeRequestCrashes,
  listUnansweredCrashes,
  type RunOutcome,
} from '../../../../domain/crashes';
import type { Clock } from '../../../ports';
import type { CrashCause, RequestPrints } from '../../types';
import type { CrashControls } from '../createCrashControls';
import type { OutcomeStore } from '../createOutcomeStore';

/** Dependencies of the judge. */
export interface CrashJudgeDependencies {
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
  readonly controls: Pick<CrashControls, 'readControl'>;
  readonly outcomes: Pick<OutcomeStore, 'isEmpty' | 'list' | 'listFingerprints'>;
  /** True if this server incarnation answered this VM after that time, and so did not crash. */
  readonly hasAnsweredSince: (server: string, atMs: number) => boolean;
  readonly retentionMs: number;
}

/** Judges by recent outcomes which requests may be sent. */
export interface CrashJudge {
  /** True if answers with a part are weighed against its crashes. */
  isWeighed(part: string): boolean;
  /** True if an answer refutes crashes, or is weighed against them. */
  isAnswerNeeded(answer: RunOutcome): boolean;
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

/** Answers after the last crash of a part from which on further ones are not weighed. */
const ENOUGH_ANSWERS = 8;

/** Least number of crashes of a responsible part; the first trial after as many follows soonest. */
const MIN_CRASHES = countNeededCrashes({ isPart: true, hasAnswer: false });

/** Creates the judge over the given outcomes. */
export const createCrashJudge = ({
  clock,
  controls,
  hasAnsweredSince,
  outcomes,
  retentionMs,
}: CrashJudgeDependencies): CrashJudge => {
  const listCrashes = (fingerprint: string): readonly RunOutcome[] =>
    listUnansweredCrashes(outcomes.list(fingerprint)).filter(
      ({ atMs, server }) => !hasAnsweredSince(server, atMs),
    );

  const readOptions = (fingerprint: string): Parameters<typeof judgeCrashes>[1] => ({
    isPart: isPartFingerprint(fingerprint),
    hasAnswer: outcomes.list(fingerprint).some(({ hasCrashed }) => !hasCrashed),
  });

  /** Counts the servers that crashed without a part. */
  const countOtherCrashes = (part: string, sinceMs: number): number => {
    const listServers = (fingerprint: string): readonly string[] =>
      outcomes
        .list(fingerprint)
        .filter(({ atMs, hasCrashed }) => hasCrashed && atMs >= sinceMs)
        .map(({ server }) => server);
    const own = new Set(listServers(part));
    const all = new Set(outcomes.listFingerprints().flatMap(listServers));
    return [...all].filter((server) => !own.has(server)).length;
  };

  /**
   * Lists the crashes of a part that crashes servers in some of its runs; empty if chance explains
   * them.
   */
  const listRateCrashes = (part: string): readonly RunOutcome[] => {
    const control = controls.readControl(part);
    if (!control) return [];
    const known = outcomes.list(part).filter(({ atMs }) => atMs >= control.sinceMs);
    const confirmed = known.filter(
      ({ atMs, hasCrashed, isConfirmed, server }) =>
        hasCrashed && isConfirmed && !hasAnsweredSince(server, atMs),
    );
    if (!judgeCrashes(confirmed, { isPart: true, hasAnswer: false })) return [];
    const evidence = {
      crashes: countCrashedServers(confirmed),
      answers: known.filter(({ hasCrashed }) => !hasCrashed).length,
      otherCrashes: 0,
      otherAnswers: control.otherAnswers,
    };
    // Other crashes only exonerate, and counting them takes a look at all outcomes.
    if (!judgeCrashRate(evidence)) return [];
    const otherCrashes = countOtherCrashes(part, control.sinceMs);
    return judgeCrashRate({ ...evidence, otherCrashes }) ? confirmed : [];
  };

  const listPartCrashes = (part: string): readonly RunOutcome[] => {
    if (outcomes.list(part).length < MIN_CRASHES) return [];
    const unanswered = listCrashes(part);
    const crashes = judgeCrashes(unanswered, readOptions(part))
      ? unanswered
      : listRateCrashes(part);
    const isRecent = clock.readMonotonicMs() < findNewestMs(crashes) + retentionMs;
    return isRecent ? crashes : [];
  };

  const listQuarantineCrashes = (fingerprint: string): readonly RunOutcome[] => {
    if (isPartFingerprint(fingerprint)) return listPartCrashes(fingerprint);
    const crashes = listCrashes(fingerprint);
    return judgeRequestCrashes(crashes, clock.readMonotonicMs())?.isCertain ? crashes : [];
  };

  const countNeeded = (fingerprint: string): number =>
    isPartFingerprint(fingerprint) && listRateCrashes(fingerprint).length > 0
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

  const isWeighed = (part: string): boolean => {
    const known = outcomes.list(part);
    const crashes = known.filter(({ hasCrashed }) => hasCrashed);
    const lastMs = findNewestMs(crashes);
    const later = known.filter(({ atMs, hasCrashed }) => !hasCrashed && atMs >= lastMs);
    return crashes.length > 0 && later.length < ENOUGH_ANSWERS;
  };

  const isRefuting = (answer: RunOutcome): boolean => {
    const crashes = listCrashes(answer.fingerprint);
    return listUnansweredCrashes([...crashes, answer]).length < crashes.length;
  };

  /** True if a run has outlasted all that crashed under the part, and is not counted yet. */
  const isNewAnswer = ({ fingerprint, ranMs, requestId, server }: RunOutcome): boolean =>
    outcomes
      .list(fingerprint)
      .every((known) =>
        known.hasCrashed
          ? ranMs > known.ranMs
          : known.server !== server || known.requestId !== requestId,
      );

  return {
    isWeighed,
    isAnswerNeeded: (answer) =>
      isRefuting(answer) ||
      (isPartFingerprint(answer.fingerprint) &&
        isWeighed(answer.fingerprint) &&
        isNewAnswer(answer)),
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
