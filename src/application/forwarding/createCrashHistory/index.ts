import {
  countCrashedServers,
  type Quarantine,
  type RunOutcome,
  type SharedOutcome,
} from '../../../domain/forwarding';
import type { Clock, EventLog } from '../../ports';

/** What a history needs. */
export interface CrashHistoryDependencies {
  readonly clock: Clock;
  readonly log: EventLog;
  /** True: this incarnation of a server answered this VM after that time, so that it did not end. */
  readonly hasAnsweredSince: (server: string, atMs: number) => boolean;
  /** Tells other VMs of an outcome that showed here. */
  readonly publishOutcome: (outcome: SharedOutcome) => void;
  /** Called where the crash that puts a request into quarantine showed here. */
  readonly handleQuarantine: (fingerprint: string) => void;
}

/** Remembers which requests end the servers that run them. */
export interface CrashHistory {
  /** Takes an outcome of a run of this VM. */
  recordOutcome(outcome: Omit<RunOutcome, 'atMs'>): void;
  /** Takes one that another VM told; true if it was news. */
  mergeOutcome(outcome: SharedOutcome): boolean;
  /** True: nothing is known of any request, so that no fingerprint is worth computing. */
  isEmpty(): boolean;
  /** True: a server ended under it, and none has answered it since. */
  isSuspected(fingerprint: string): boolean;
  /** How much longer a request is in quarantine; 0 if it is not. */
  readQuarantineMs(fingerprint: string): number;
  /** Calls `listener` once when the request gets into quarantine; the returned function ends it. */
  addListener(fingerprint: string, listener: () => void): () => void;
  /** Outcomes for a VM that may lack some, the newest first. */
  listOutcomes(): readonly SharedOutcome[];
  /** With its time in monotonic milliseconds of this process. */
  findQuarantine(fingerprint: string): Quarantine | null;
}

/** Servers that a request may end: the next one could be lost for another reason. */
export const MAX_CRASHES = 3;

/** After its last crash a request is tried again only this much later. */
const QUARANTINE_MS = 600_000;

/** Outcomes are forgotten after this time: a request that crashes again meanwhile is back at once. */
export const CRASH_RETENTION_MS = 3_600_000;

/** Requests and outcomes of each that are remembered. */
const MAX_REQUESTS = 1000;
const MAX_OUTCOMES = 8;

/** Outcomes that one message carries: 80 bytes each. */
const MAX_LISTED = 40;

const readNewestMs = (outcomes: readonly RunOutcome[]): number =>
  Math.max(-Infinity, ...outcomes.map(({ atMs }) => atMs));

const isSame = (left: Omit<RunOutcome, 'atMs'>, right: Omit<RunOutcome, 'atMs'>): boolean =>
  left.server === right.server && left.hasCrashed === right.hasCrashed;

/**
 * Creates the history of this VM; it is empty.
 *
 * A crash counts against its request until a server has answered that request, or the server itself
 * proves to be there.
 */
export const createCrashHistory = ({
  clock,
  handleQuarantine,
  hasAnsweredSince,
  log,
  publishOutcome,
}: CrashHistoryDependencies): CrashHistory => {
  /** By fingerprint; the one that was heard of last comes last. */
  const outcomesOf = new Map<string, readonly RunOutcome[]>();
  const listenersOf = new Map<string, Set<() => void>>();

  const listCrashes = (fingerprint: string): readonly RunOutcome[] => {
    const outcomes = outcomesOf.get(fingerprint) ?? [];
    const answeredMs = readNewestMs(outcomes.filter(({ hasCrashed }) => !hasCrashed));
    return outcomes.filter(
      ({ atMs, hasCrashed, server }) =>
        hasCrashed && atMs > answeredMs && !hasAnsweredSince(server, atMs),
    );
  };

  const readQuarantineMs = (fingerprint: string): number => {
    if (!outcomesOf.has(fingerprint)) return 0;
    const crashes = listCrashes(fingerprint);
    if (countCrashedServers(crashes) < MAX_CRASHES) return 0;
    return Math.max(0, readNewestMs(crashes) + QUARANTINE_MS - clock.readMonotonicMs());
  };

  const dropOld = (): void => {
    const sinceMs = clock.readMonotonicMs() - CRASH_RETENTION_MS;
    outcomesOf.forEach((outcomes, fingerprint) => {
      const kept = outcomes.filter(({ atMs }) => atMs > sinceMs);
      if (kept.length === 0) outcomesOf.delete(fingerprint);
      else if (kept.length < outcomes.length) outcomesOf.set(fingerprint, kept);
    });
    const surplus = outcomesOf.size - MAX_REQUESTS;
    [...outcomesOf.keys()].slice(0, Math.max(0, surplus)).forEach((one) => outcomesOf.delete(one));
  };

  /** Adds an outcome; false if it is known. */
  const add = (outcome: RunOutcome): boolean => {
    const { fingerprint } = outcome;
    const known = outcomesOf.get(fingerprint) ?? [];
    const before = known.find((one) => isSame(one, outcome));
    if (before?.hasCrashed || (before && before.atMs >= outcome.atMs)) return false;
    const others = known.filter((one) => one !== before);
    outcomesOf.delete(fingerprint);
    outcomesOf.set(
      fingerprint,
      [...others, outcome].sort((left, right) => left.atMs - right.atMs).slice(-MAX_OUTCOMES),
    );
    dropOld();
    return true;
  };

  /** Adds an outcome, and tells those that wait for the verdict; true if it was news. */
  const take = (outcome: RunOutcome, source: 'own' | 'told'): boolean => {
    const { fingerprint } = outcome;
    const wasQuarantined = readQuarantineMs(fingerprint) > 0;
    if (!add(outcome)) return false;
    const isQuarantined = readQuarantineMs(fingerprint) > 0;
    log.info(outcome.hasCrashed ? 'request crashed a server' : 'suspected request answered', {
      requestId: outcome.requestId,
      fingerprint,
      server: outcome.server,
      source,
      ageMs: Math.round(clock.readMonotonicMs() - outcome.atMs),
      crashes: countCrashedServers(listCrashes(fingerprint)),
      isQuarantined,
    });
    if (isQuarantined && !wasQuarantined) {
      [...(listenersOf.get(fingerprint) ?? [])].forEach((listener) => listener());
      if (source === 'own') handleQuarantine(fingerprint);
    }
    return true;
  };

  return {
    recordOutcome: (outcome) => {
      if (take({ ...outcome, atMs: clock.readMonotonicMs() }, 'own')) {
        publishOutcome({ ...outcome, ageMs: 0 });
      }
    },
    mergeOutcome: ({ ageMs, ...outcome }) => {
      if (ageMs >= CRASH_RETENTION_MS) return false;
      return take({ ...outcome, atMs: clock.readMonotonicMs() - ageMs }, 'told');
    },
    isEmpty: () => outcomesOf.size === 0,
    isSuspected: (fingerprint) =>
      outcomesOf.has(fingerprint) && listCrashes(fingerprint).length > 0,
    readQuarantineMs,
    addListener: (fingerprint, listener) => {
      const listeners = listenersOf.get(fingerprint) ?? new Set();
      listenersOf.set(fingerprint, listeners.add(listener));
      return () => {
        listeners.delete(listener);
        if (listeners.size === 0 && listenersOf.get(fingerprint) === listeners) {
          listenersOf.delete(fingerprint);
        }
      };
    },
    listOutcomes: () => {
      const nowMs = clock.readMonotonicMs();
      return [...outcomesOf.values()]
        .flat()
        .sort((left, right) => right.atMs - left.atMs)
        .slice(0, MAX_LISTED)
        .map(({ atMs, ...outcome }) => ({ ...outcome, ageMs: nowMs - atMs }));
    },
    findQuarantine: (fingerprint) => {
      if (readQuarantineMs(fingerprint) === 0) return null;
      const crashes = listCrashes(fingerprint);
      const servers = [...new Set(crashes.map(({ server }) => server))];
      return { fingerprint, servers, lastCrashAtMs: readNewestMs(crashes) };
    },
  };
};
