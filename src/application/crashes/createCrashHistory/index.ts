import {
  countCrashedServers,
  findNewestMs,
  listPartOutcomes,
  type PartTally,
  type Quarantine,
  type RunOutcome,
  type SharedOutcome,
} from '../../../domain/crashes';
import { createBoundedMap } from '../../_lib/createBoundedMap';
import type { Clock, EventLog } from '../../ports';
import { createCrashControls, type EndedRun } from '../_lib/createCrashControls';
import { createCrashJudge, type CrashJudge } from '../_lib/createCrashJudge';
import { createOutcomeStore } from '../_lib/createOutcomeStore';
import { formatOutcome } from '../_lib/formatOutcome';
import type { CrashCause, RequestPrints } from '../types';

/** Dependencies of the crash history. */
export interface CrashHistoryDependencies {
  readonly clock: Clock;
  readonly log: EventLog;
  /** True if this server incarnation answered this VM after that time, and so did not crash. */
  readonly hasAnsweredSince: (server: string, atMs: number) => boolean;
  /** Tells other VMs of an outcome that this VM observed. */
  readonly publishOutcome: (outcome: SharedOutcome) => void;
  /**
   * Called when a fingerprint comes into quarantine of whose crashes this VM observed any, and after
   * each further crash in quarantine that this VM observed.
   */
  readonly handleQuarantine: (fingerprint: string) => void;
  /** Called if this VM observed the answer that ends the quarantine of a fingerprint. */
  readonly handleCleared?: (fingerprint: string) => void;
}

/** Tracks which requests, and which prompt parts, crash the servers that run them. */
export interface CrashHistory {
  /** Records the outcome of a run of this VM. A crash may be recorded again once it is confirmed. */
  recordOutcome(outcome: RunOutcome): void;
  /** Merges an outcome that another VM reported; returns true if it was new. */
  mergeOutcome(outcome: SharedOutcome): boolean;
  /** True if no outcome is known, so that no fingerprint needs to be computed. */
  isEmpty(): boolean;
  /** True if a server crashed under the fingerprint, and no answer has refuted it. */
  isSuspected(fingerprint: string): boolean;
  /** True if an answer refutes crashes under its fingerprint. */
  isAnswerNeeded(answer: RunOutcome): boolean;
  /** Takes note of a run of this VM that no crash ended. */
  recordRun(run: EndedRun): void;
  /** Lists the runs with and without suspected prompt parts, for other VMs. */
  listTallies(ownId: number): readonly PartTally[];
  /** Merges those of another VM. */
  mergeTallies(tallies: readonly PartTally[], ownId: number): void;
  /** Remaining time of the quarantine of a whole request; 0 if it is not in quarantine. */
  readQuarantineMs(fingerprint: string): number;
  /** Finds what a request must not be sent for; null if it may be sent. */
  findCause(prints: RequestPrints): CrashCause | null;
  /** Calls `listener` after each new outcome; the returned function removes it. */
  addListener(listener: () => void): () => void;
  /** Lists recent outcomes for other VMs: those of refused requests, then the newest. */
  listOutcomes(): readonly SharedOutcome[];
  /**
   * Finds the quarantine of a fingerprint, or its hold, which is not certain; its time is monotonic
   * time of this process.
   */
  findQuarantine(fingerprint: string): Quarantine | null;
  /** Counts the prompt parts that are held responsible. */
  countResponsibleParts(): number;
}

/**
 * Outcomes are kept for this long: one more crash within this time quarantines the request again.
 */
export const CRASH_RETENTION_MS = 3_600_000;

/** Maximum number of outcomes in one message, of 80 bytes each. */
const MAX_OUTCOMES_PER_MESSAGE = 40;

/** Maximum number of fingerprints of which this VM remembers what it has observed and reported. */
const MAX_OBSERVED = 1000;

/**
 * Creates an empty crash history.
 *
 * A crash counts against its request and its prompt parts until a server has answered these, or the
 * server proves to be alive.
 */
export const createCrashHistory = ({
  clock,
  handleCleared,
  handleQuarantine,
  hasAnsweredSince,
  log,
  publishOutcome,
}: CrashHistoryDependencies): CrashHistory => {
  const listeners = new Set<() => void>();
  /** Fingerprints of whose crashes this VM observed any. */
  const observed = createBoundedMap<true>(MAX_OBSERVED);
  /** Fingerprints whose quarantine has been reported, and its end not yet. */
  const quarantined = createBoundedMap<true>(MAX_OBSERVED);
  // Assigned below: which outcomes are kept, and what is reported, depends on the judge.
  let isKept: CrashJudge['isHeldBack'] = () => false;
  let handleVerdict: (part: string, source: 'own' | 'told') => void = () => undefined;
  const outcomes = createOutcomeStore({
    clock,
    retentionMs: CRASH_RETENTION_MS,
    isKept: (fingerprint) => isKept(fingerprint),
  });
  const controls = createCrashControls({ clock });
  const judge = createCrashJudge({
    clock,
    controls,
    hasAnsweredSince,
    outcomes,
    retentionMs: CRASH_RETENTION_MS,
    handleHeld: ({ atMs, ...crash }) => {
      publishOutcome({ ...crash, isJudged: true, ageMs: clock.readMonotonicMs() - atMs });
      handleVerdict(crash.fingerprint, 'own');
    },
    // The VMs that observed crashes have written its row.
    handleReleased: (part) => handleVerdict(part, observed.get(part) ? 'own' : 'told'),
  });
  const { isHeldBack, isQuarantined, listCrashes, listQuarantineCrashes } = judge;
  isKept = isHeldBack;

  const findRequestCause = (request: string): CrashCause | null =>
    judge.findCause({ request, parts: [] });

  const notifyListeners = (): void => [...listeners].forEach((listener) => listener());

  const logOutcome = (outcome: RunOutcome, source: 'own' | 'told'): void => {
    const { atMs, fingerprint, isLate, ranMs, requestId, server } = outcome;
    const crashes = listCrashes(fingerprint);
    log.info(formatOutcome(outcome), {
      requestId,
      fingerprint,
      server,
      source,
      ageMs: Math.round(clock.readMonotonicMs() - atMs),
      ranMs: Math.round(ranMs),
      isLate: isLate === true,
      lost: new Set(crashes.map((one) => one.server)).size,
      crashes: countCrashedServers(crashes.filter(({ isConfirmed }) => isConfirmed)),
      answers: outcomes.list(fingerprint).filter(({ hasCrashed }) => !hasCrashed).length,
      neededCrashes: judge.countNeeded(fingerprint),
      isHeldBack: isHeldBack(fingerprint),
      isQuarantined: isQuarantined(fingerprint),
    });
  };

  /** Logs and stores the begin or the end of a quarantine; returns true if there was one. */
  const handleChange = (fingerprint: string, source: 'own' | 'told'): boolean => {
    const isNowQuarantined = isQuarantined(fingerprint);
    if (isNowQuarantined === (quarantined.get(fingerprint) ?? false)) return false;
    if (isNowQuarantined) quarantined.set(fingerprint, true);
    else quarantined.delete(fingerprint);
    const servers = listQuarantineCrashes(fingerprint).map(({ server }) => server);
    const control = controls.readControl(fingerprint);
    log.info(isNowQuarantined ? 'quarantine begun' : 'quarantine ended', {
      fingerprint,
      source,
      servers: servers.join(', '),
      isByShare: judge.isHeldResponsible(fingerprint),
      answers: control?.answers ?? 0,
      otherAnswers: control?.otherAnswers ?? 0,
      ...judge.readFinding(fingerprint),
    });
    if (isNowQuarantined && observed.get(fingerprint)) handleQuarantine(fingerprint);
    if (!isNowQuarantined && source === 'own') handleCleared?.(fingerprint);
    return true;
  };

  /** Adds an outcome and reports a change of its quarantine; returns true if it was new. */
  const recordNewOutcome = (outcome: RunOutcome, source: 'own' | 'told'): boolean => {
    const { fingerprint, hasCrashed, isConfirmed } = outcome;
    if (source === 'own' && hasCrashed) observed.set(fingerprint, true);
    if (!outcomes.add(outcome)) return false;
    listPartOutcomes(outcome).forEach((one) => recordNewOutcome(one, source));
    if (hasCrashed) controls.recordCrash(outcome, { isHeld: judge.isHeldResponsible(fingerprint) });
    logOutcome(outcome, source);
    const hasChanged = handleChange(fingerprint, source);
    const isOwnCrash = source === 'own' && hasCrashed && isConfirmed;
    if (!hasChanged && isOwnCrash && isQuarantined(fingerprint)) handleQuarantine(fingerprint);
    notifyListeners();
    return true;
  };

  // A request may be asking for the verdict right now: it must not be refused by its listener, too.
  handleVerdict = (part, source) => {
    clock.startTimer(0, () => {
      if (handleChange(part, source)) notifyListeners();
    });
  };

  return {
    recordOutcome: (outcome) => {
      if (!recordNewOutcome(outcome, 'own')) return;
      const { atMs, ...shared } = outcome;
      publishOutcome({ ...shared, ageMs: clock.readMonotonicMs() - atMs });
    },
    mergeOutcome: ({ ageMs, isJudged, ...outcome }) => {
      if (ageMs >= CRASH_RETENTION_MS) return false;
      const isNew = recordNewOutcome({ ...outcome, atMs: clock.readMonotonicMs() - ageMs }, 'told');
      const isAdopted = isJudged === true && judge.mergeVerdict(outcome.fingerprint);
      if (isAdopted && handleChange(outcome.fingerprint, 'told')) notifyListeners();
      return isNew || isAdopted;
    },
    isEmpty: outcomes.isEmpty,
    isSuspected: (fingerprint) => listCrashes(fingerprint).length > 0,
    isAnswerNeeded: judge.isAnswerNeeded,
    recordRun: controls.recordRun,
    listTallies: controls.listTallies,
    mergeTallies: controls.mergeTallies,
    readQuarantineMs: (fingerprint) => {
      const cause = findRequestCause(fingerprint);
      return cause?.isCertain ? cause.remainingMs : 0;
    },
    findCause: judge.findCause,
    addListener: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    listOutcomes: () => {
      const nowMs = clock.readMonotonicMs();
      const newestFirst = (left: RunOutcome, right: RunOutcome): number => right.atMs - left.atMs;
      const all = outcomes.listFingerprints();
      const refused = new Set(all.filter(isHeldBack));
      const listNewest = (fingerprints: readonly string[]): readonly RunOutcome[] =>
        fingerprints.flatMap(outcomes.list).sort(newestFirst);
      return [...listNewest([...refused]), ...listNewest(all.filter((one) => !refused.has(one)))]
        .slice(0, MAX_OUTCOMES_PER_MESSAGE)
        .map(({ atMs, ...outcome }) => ({
          ...outcome,
          isJudged: outcome.hasCrashed && judge.isHeldResponsible(outcome.fingerprint),
          ageMs: nowMs - atMs,
        }));
    },
    findQuarantine: (fingerprint) => {
      if (!isHeldBack(fingerprint)) return null;
      const certain = listQuarantineCrashes(fingerprint);
      const crashes = certain.length > 0 ? certain : listCrashes(fingerprint);
      const servers = [...new Set(crashes.map(({ server }) => server))];
      const lastCrashAtMs = findNewestMs(crashes);
      const ranMs = Math.max(0, ...crashes.map((crash) => crash.ranMs));
      return { fingerprint, servers, lastCrashAtMs, ranMs, isCertain: certain.length > 0 };
    },
    countResponsibleParts: () => judge.listResponsibleParts().length,
  };
};
