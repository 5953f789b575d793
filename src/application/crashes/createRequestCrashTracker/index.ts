import {
  computeFingerprint,
  formatPartFingerprint,
  isPartFingerprint,
  judgeAttemptEnd,
  listSharedParts,
  type AttemptEnd,
  type EndVerdict,
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

/** Tracks crashes of servers under one request, and what they are held against. */
export interface RequestCrashTracker {
  /** Lists the fingerprint and the shared prompt parts, for the log. */
  readLogFields(): EventFields;
  /** Finds what the request must not be sent for; null if it may be sent. */
  findCause(): CrashCause | null;
  /** Records how an attempt ended at a server; returns what that says of the request. */
  recordEnd(server: ServerEntry, end: AttemptEnd): EndVerdict;
  /**
   * Records that a server began to answer, which no server does with a bad prompt part.
   *
   * @param sentSinceMs - earliest time at which it can have done so, in monotonic ms
   */
  recordBegun(server: ServerEntry, sentSinceMs: number): void;
}

/** Creates the crash tracker of one request. It computes the fingerprint only when needed. */
export const createRequestCrashTracker = (
  { crashProbe, crashes }: RequestCrashTrackerDependencies,
  request: Pick<ForwardedRequest, 'body' | 'promptParts' | 'requestId' | 'target'>,
  workspace: string | null,
): RequestCrashTracker => {
  const { requestId } = request;
  const sharedParts = listSharedParts(request.promptParts);
  const parts = sharedParts.map(formatPartFingerprint);
  let fingerprint: string | null = null;
  const readFingerprint = (): string => {
    fingerprint ??= computeFingerprint(request, workspace);
    return fingerprint;
  };
  const readRunId = (one: string): string =>
    isPartFingerprint(one) ? readFingerprint() : requestId;

  /** Lists the run by each fingerprint that it accuses: no part, if an event of it has arrived. */
  const listRuns = ({ beganAtMs, endedAtMs, progress }: AttemptEnd): readonly ProbedRun[] => {
    const hasBegun = progress === 'events' || progress === 'whole';
    return [readFingerprint(), ...(hasBegun ? [] : parts)].map((one) => ({
      fingerprint: one,
      requestId: readRunId(one),
      ranMs: Math.max(0, endedAtMs - beganAtMs),
      atMs: endedAtMs,
    }));
  };

  const recordAnswers = (
    fingerprints: readonly string[],
    server: ServerEntry,
    sentSinceMs: number,
  ): void =>
    fingerprints.filter(crashes.isSuspected).forEach((one) =>
      crashes.recordOutcome({
        fingerprint: one,
        requestId: readRunId(one),
        server: formatIncarnation(server),
        hasCrashed: false,
        isConfirmed: true,
        ranMs: 0,
        atMs: sentSinceMs,
      }),
    );

  const RECORDERS: Readonly<Record<EndVerdict, (server: ServerEntry, end: AttemptEnd) => void>> = {
    answer: (server, { heardSinceMs }) => {
      if (!crashes.isEmpty()) recordAnswers([readFingerprint(), ...parts], server, heardSinceMs);
    },
    suspect: (server, end) => {
      const runs = listRuns(end);
      const outcome = { server: formatIncarnation(server), hasCrashed: true, isConfirmed: false };
      runs.forEach((run) => crashes.recordOutcome({ ...run, ...outcome }));
      crashProbe.startProbe(server, runs, { isSilent: false });
    },
    check: (server, end) =>
      crashProbe.startProbe(server, listRuns(end), { isSilent: end.connection !== 'closed' }),
    none: () => undefined,
  };

  return {
    readLogFields: () => ({ fingerprint: readFingerprint(), parts: sharedParts.join(' ') }),
    findCause: () => {
      if (crashes.isEmpty()) return null;
      const cause = crashes.findCause({ request: readFingerprint(), parts });
      if (cause && !cause.isCertain) crashProbe.startRecheck(cause.unconfirmed);
      return cause;
    },
    recordEnd: (server, end) => {
      const verdict = judgeAttemptEnd(end);
      RECORDERS[verdict](server, end);
      return verdict;
    },
    recordBegun: (server, sentSinceMs) => {
      if (!crashes.isEmpty()) recordAnswers(parts, server, sentSinceMs);
    },
  };
};
