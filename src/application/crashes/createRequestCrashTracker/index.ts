import {
  computeFingerprint,
  formatPartFingerprint,
  isPartFingerprint,
  judgeAttemptEnd,
  listPartIds,
  type AttemptEnd,
  type EndVerdict,
  type RunOutcome,
  WHOLE_RUN_MS,
} from '../../../domain/crashes';
import {
  formatIncarnation,
  type ForwardedRequest,
  type ServerEntry,
} from '../../../domain/forwarding';
import type { EventFields } from '../../ports';
import type { CrashHistory } from '../createCrashHistory';
import type { CrashProbe, ProbedRun } from '../createCrashProbe';
import type { CrashCause } from '../types';

/** Dependencies of a tracker. */
export interface RequestCrashTrackerDependencies {
  readonly crashes: CrashHistory;
  readonly crashProbe: CrashProbe;
}

/** How far a run has come; monotonic milliseconds of this process. */
export type RunProgress = Pick<AttemptEnd, 'beganAtMs' | 'heardSinceMs'>;

/** Tracks crashes of servers under one request, and what they are held against. */
export interface RequestCrashTracker {
  /** Lists the fingerprint and the prompt parts, for the log. */
  readLogFields(): EventFields;
  /** Finds what the request must not be sent for; null if it may be sent. */
  findCause(): CrashCause | null;
  /**
   * Records how an attempt ended at a server; returns what that says of the request.
   *
   * @param options.isFromStart - false if the run went on after events of another one; its answer
   *   proves nothing of the prompt
   */
  recordEnd(
    server: ServerEntry,
    end: AttemptEnd,
    options?: { readonly isFromStart: boolean },
  ): EndVerdict;
  /**
   * Records that a run goes on, which is an answer for the prompt parts under which other runs have
   * ended sooner.
   */
  recordProgress(server: ServerEntry, progress: RunProgress): void;
}

/** A run that goes on is looked at again once it has lasted for this much longer. */
const PROGRESS_FACTOR = 1.25;

/** Creates the crash tracker of one request. It computes the fingerprint only when needed. */
export const createRequestCrashTracker = (
  { crashProbe, crashes }: RequestCrashTrackerDependencies,
  request: Pick<ForwardedRequest, 'body' | 'promptParts' | 'requestId' | 'target'>,
  workspace: string | null,
): RequestCrashTracker => {
  const { requestId } = request;
  const partIds = listPartIds(request.promptParts);
  const parts = partIds.map(formatPartFingerprint);
  let fingerprint: string | null = null;
  /** When the newest run that goes on began, and for how long it has run when it is looked at next. */
  let nextProgress = { beganAtMs: NaN, ranMs: 0 };
  const readFingerprint = (): string => {
    fingerprint ??= computeFingerprint(request, workspace);
    return fingerprint;
  };
  const readRunId = (one: string): string =>
    isPartFingerprint(one) ? readFingerprint() : requestId;

  const buildRun = ({ beganAtMs, endedAtMs }: AttemptEnd, one: string): ProbedRun => ({
    fingerprint: one,
    requestId: readRunId(one),
    ranMs: Math.max(0, endedAtMs - beganAtMs),
    atMs: endedAtMs,
    ...(isPartFingerprint(one) ? {} : { parts }),
  });

  /** Lists the run by each fingerprint that it accuses. */
  const listRuns = (end: AttemptEnd): readonly ProbedRun[] =>
    [readFingerprint(), ...parts].map((one) => buildRun(end, one));

  /** Records a run that no crash ended. */
  const recordRun = ({ endedAtMs, sentAtMs }: AttemptEnd, isWhole: boolean): void => {
    if (crashes.isEmpty() || parts.length === 0) return;
    crashes.recordRun({ parts, runMs: Math.max(0, endedAtMs - sentAtMs), isWhole });
  };

  const recordAnswers = (
    fingerprints: readonly string[],
    server: ServerEntry,
    { atMs, ranMs }: Pick<RunOutcome, 'atMs' | 'ranMs'>,
  ): void =>
    fingerprints
      .filter(crashes.isSuspected)
      .map((one) => ({
        fingerprint: one,
        requestId: readRunId(one),
        server: formatIncarnation(server),
        hasCrashed: false,
        isConfirmed: true,
        ranMs,
        atMs,
      }))
      .filter(crashes.isAnswerNeeded)
      .forEach(crashes.recordOutcome);

  const RECORDERS: Readonly<
    Record<EndVerdict, (server: ServerEntry, end: AttemptEnd, isFromStart: boolean) => void>
  > = {
    answer: (server, end, isFromStart) => {
      const { heardSinceMs } = end;
      if (crashes.isEmpty()) return;
      recordRun(end, isFromStart);
      const answered = [readFingerprint(), ...(isFromStart ? parts : [])];
      recordAnswers(answered, server, { ranMs: WHOLE_RUN_MS, atMs: heardSinceMs });
    },
    suspect: (server, end) => {
      const runs = listRuns(end);
      const outcome = { server: formatIncarnation(server), hasCrashed: true, isConfirmed: false };
      runs.forEach((run) => crashes.recordOutcome({ ...run, ...outcome }));
      crashProbe.startProbe(server, runs, { isSilent: false });
    },
    check: (server, end) =>
      crashProbe.startProbe(server, listRuns(end), { isSilent: end.connection !== 'closed' }),
    // Its parts are not told apart from it: servers that crash by themselves lose many such runs.
    late: (server, end) => {
      if (parts.length === 0) return;
      const run = { ...buildRun(end, readFingerprint()), isLate: true };
      const isSilent = end.connection === 'silent' || end.connection === 'unseen';
      crashProbe.startProbe(server, [run], { isSilent });
    },
    none: (_, end) => recordRun(end, false),
  };

  return {
    readLogFields: () => ({ fingerprint: readFingerprint(), parts: partIds.join(' ') }),
    findCause: () => {
      if (crashes.isEmpty()) return null;
      const cause = crashes.findCause({ request: readFingerprint(), parts });
      if (cause && !cause.isCertain) crashProbe.startRecheck(cause.unconfirmed);
      return cause;
    },
    recordEnd: (server, end, { isFromStart } = { isFromStart: true }) => {
      const verdict = judgeAttemptEnd(end);
      RECORDERS[verdict](server, end, isFromStart);
      return verdict;
    },
    recordProgress: (server, { beganAtMs, heardSinceMs }) => {
      if (crashes.isEmpty()) return;
      const ranMs = heardSinceMs - beganAtMs;
      if (beganAtMs === nextProgress.beganAtMs && ranMs < nextProgress.ranMs) return;
      nextProgress = { beganAtMs, ranMs: PROGRESS_FACTOR * ranMs };
      recordAnswers(parts, server, { ranMs, atMs: heardSinceMs });
    },
  };
};
