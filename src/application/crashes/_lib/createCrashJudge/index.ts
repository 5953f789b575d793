import {
  computeTrialPauseMs,
  countNeededCrashes,
  findNewestMs,
  findResponsibleParts,
  isPartFingerprint,
  judgeCrashes,
  judgeRequestCrashes,
  listUnansweredCrashes,
  type RunOutcome,
} from '../../../../domain/crashes';
import type { Clock } from '../../../ports';
import type { CrashCause, RequestPrints } from '../../types';
import type { OutcomeStore } from '../createOutcomeStore';

/** Dependencies of the judge. */
export interface CrashJudgeDependencies {
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
  readonly outcomes: Pick<OutcomeStore, 'isEmpty' | 'list' | 'listFingerprints'>;
  /** True if this server incarnation answered this VM after that time, and so did not crash. */
  readonly hasAnsweredSince: (server: string, atMs: number) => boolean;
  readonly retentionMs: number;
}

/** Judges by recent outcomes which requests may be sent. */
export interface CrashJudge {
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

/** Creates the judge over the given outcomes. */
export const createCrashJudge = ({
  clock,
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
  const countNeeded = (fingerprint: string): number => countNeededCrashes(readOptions(fingerprint));

  const listQuarantineCrashes = (fingerprint: string): readonly RunOutcome[] => {
    const crashes = listCrashes(fingerprint);
    if (crashes.length === 0) return [];
    const nowMs = clock.readMonotonicMs();
    const isQuarantined = isPartFingerprint(fingerprint)
      ? judgeCrashes(crashes, readOptions(fingerprint)) &&
        nowMs < findNewestMs(crashes) + retentionMs
      : judgeRequestCrashes(crashes, nowMs)?.isCertain;
    return isQuarantined ? crashes : [];
  };

  const isQuarantined = (fingerprint: string): boolean =>
    listQuarantineCrashes(fingerprint).length > 0;

  const listResponsibleParts = (): readonly string[] =>
    outcomes.listFingerprints().filter((one) => isPartFingerprint(one) && isQuarantined(one));

  const findPartCause = (parts: readonly string[]): CrashCause | null => {
    if (!parts.some(isQuarantined)) return null;
    const suspects = new Map(
      listResponsibleParts().map((part) => [part, listQuarantineCrashes(part)]),
    );
    const found = findResponsibleParts(parts, suspects);
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
