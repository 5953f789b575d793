import { formatIncarnation, isAddressReserved, type ServerEntry } from '../../../domain/forwarding';
import { createSuspensionWatch } from '../../time';
import type { ServerRecord, PeerPrompt } from '../_lib/buildServerRecord';
import { buildServerStatus } from '../_lib/buildServerStatus';
import { computeShortestPauseMs } from '../_lib/computeShortestPauseMs';
import { createServerRecords, type ServerRecordsDependencies } from '../_lib/createServerRecords';
import { startServerWork } from '../_lib/startServerWork';
import type { ServerDirectory, SuspicionCause } from '../types';

/** Dependencies of the server directory. */
export interface ServerDirectoryDependencies extends ServerRecordsDependencies {
  /** How long an address stays with its service after the server has ended. */
  readonly reuseAfterMs: number;
  /** Called when this VM itself begins to suspect a server. */
  readonly handleSuspected: (id: string, cause: SuspicionCause) => void;
  /** Called when this VM itself discovers a server that has no entry yet. */
  readonly handleInferred: (entry: ServerEntry) => void;
}

/** For this long, a response to this VM outweighs a suspicion that another VM reports. */
const OWN_OBSERVATION_TTL_MS = 200;

/** Tolerance of the times of crashes, which other VMs tell as well. */
const CRASH_TIME_TOLERANCE_MS = 250;

/**
 * Duration of the first suspicion, during which the server gets work only if all others failed too.
 * It doubles with every further suspicion.
 */
const MIN_SUSPICION_MS = 1000;
const MAX_SUSPICION_MS = 8000;

/** The id of a server without an entry is checked when it has not answered for this long. */
const INFERRED_CHECK_AFTER_MS = 2000;

/** A server that refused a request is taken for full for this long: queues drain in a moment. */
const FULL_TTL_MS = 300;

/** A server without an entry that has not answered for this long gets no new work. */
const INFERRED_TTL_MS = 6000;

/**
 * How long a prompt of another VM counts. Afterwards reports, which are some hundred milliseconds
 * old, include it. Of the prompts that met another one on the platform, nine in ten came within 190
 * ms after it.
 */
const PEER_PROMPT_TTL_MS = 400;

/** Creates the directory of the backend servers. */
export const createServerDirectory = (
  dependencies: ServerDirectoryDependencies,
): ServerDirectory => {
  const { clock, handleInferred, handleSuspected, log, reuseAfterMs } = dependencies;
  const records = createServerRecords(dependencies);

  const suspensions = createSuspensionWatch(clock);

  /** When a server without an entry was last heard of, by this VM or others. */
  const readHeardAtMs = ({ aliveAtMs, availableAtMs }: ServerRecord): number =>
    Math.max(aliveAtMs, availableAtMs);

  const isPresent = (record: ServerRecord): boolean => {
    const { entry, goneAtMs, isInferred } = record;
    const nowMs = clock.readMonotonicMs();
    const isKnown = !isInferred || nowMs - readHeardAtMs(record) < INFERRED_TTL_MS;
    return !entry.isLeaving && goneAtMs > nowMs && isKnown;
  };

  const isServing = (record: ServerRecord): boolean =>
    isPresent(record) && record.pausedUntilMs <= clock.readMonotonicMs();

  const isRateLimited = ({ rateLimitedUntilMs }: ServerRecord): boolean =>
    rateLimitedUntilMs > clock.readMonotonicMs();

  const listRecent = ({ peerPrompts }: ServerRecord): readonly PeerPrompt[] => {
    const sinceMs = clock.readMonotonicMs() - PEER_PROMPT_TTL_MS;
    return peerPrompts.filter(({ receivedAtMs }) => receivedAtMs > sinceMs);
  };

  const recordAlive = (id: string, sentSinceMs: number): void => {
    const record = records.find(id);
    if (record) record.aliveAtMs = Math.max(record.aliveAtMs, sentSinceMs);
  };

  /** True if whoever answers at the server's address now must belong to the same service. */
  const hasReservedAddress = ({ aliveAtMs }: ServerRecord): boolean =>
    aliveAtMs >= suspensions.readSuspendedBeforeMs() &&
    isAddressReserved({
      lastAnswerAtMs: aliveAtMs,
      nowMs: clock.readMonotonicMs(),
      reuseAfterMs,
    });

  const recordReachable = (id: string): void => {
    const record = records.find(id);
    if (!record) return;
    if (record.consecutiveSuspicions > 0) record.availableAtMs = clock.readMonotonicMs();
    Object.assign(record, { consecutiveSuspicions: 0, suspectedUntilMs: 0, probeRequests: 0 });
  };

  return {
    applyRows: records.applyRows,
    listServing: (service) => {
      const nowMs = clock.readMonotonicMs();
      return records
        .list()
        .filter((record) => record.entry.service === service)
        .filter((record) => isServing(record) && !isRateLimited(record))
        .map((record) => buildServerStatus(record, nowMs));
    },
    listEntries: () =>
      records
        .list()
        .filter(isPresent)
        .map(({ entry }) => entry),
    readLoad: (id) => {
      const record = records.find(id);
      if (!record) return null;
      const { entry, load, running } = record;
      return { running, slots: Math.min(entry.slots, load?.slots ?? Infinity) };
    },
    findEntry: (id) => records.find(id)?.entry ?? null,
    findServing: (id) => {
      const record = records.find(id);
      return record && isServing(record) ? record.entry : null;
    },
    isHealthy: (id) => {
      const record = records.find(id);
      if (!record) return false;
      return isServing(record) && record.suspectedUntilMs <= clock.readMonotonicMs();
    },
    startWork: (id, options) => startServerWork(records.find(id) ?? null, options),
    countPendingPrefillTokens: (id) => {
      const record = records.find(id);
      if (!record) return 0;
      return record.prefillTokens + listRecent(record).reduce((sum, { tokens }) => sum + tokens, 0);
    },
    recordPeerPrompt: (id, tokens) => {
      const record = records.find(id);
      if (!record) return;
      const receivedAtMs = clock.readMonotonicMs();
      record.peerPrompts = [...listRecent(record), { tokens, receivedAtMs }];
    },
    addCopy: (id) => {
      const record = records.find(id);
      if (record) record.copies += 1;
      let isHeld = true;
      return () => {
        if (record && isHeld) record.copies -= 1;
        isHeld = false;
      };
    },
    recordLoad: (id, load) => {
      const record = records.find(id);
      if (record) Object.assign(record, { load, loadAtMs: clock.readMonotonicMs() });
    },
    recordLeaving: records.recordLeaving,
    recordPause: (id, pauseMs) => {
      const record = records.find(id);
      if (!record) return;
      const untilMs = clock.readMonotonicMs() + pauseMs;
      record.pausedUntilMs = Math.max(record.pausedUntilMs, untilMs);
      log.info('server paused', { server: id, pauseMs: Math.round(pauseMs) });
    },
    recordFull: (id) => {
      const record = records.find(id);
      if (record) record.fullUntilMs = clock.readMonotonicMs() + FULL_TTL_MS;
    },
    recordRateLimited: (id, waitMs) => {
      const record = records.find(id);
      if (record) record.rateLimitedUntilMs = clock.readMonotonicMs() + waitMs;
    },
    isRateLimited: (id) => {
      const record = records.find(id);
      return record !== undefined && isRateLimited(record);
    },
    readShortestPauseMs: (service) =>
      computeShortestPauseMs(records.list().filter(isPresent), service, clock.readMonotonicMs()),
    recordSuspicion: (id, cause, ageMs = 0) => {
      const record = records.find(id);
      if (!record) return;
      const nowMs = clock.readMonotonicMs();
      // Attempts that fail at the same time count as one failure.
      if (record.suspectedUntilMs > nowMs) return;
      // Another VM may be cut off from the server: recent responses to this VM take precedence.
      const isReportedByPeer = cause === 'told';
      const failedAtMs = nowMs - ageMs;
      if (isReportedByPeer && failedAtMs - record.aliveAtMs < OWN_OBSERVATION_TTL_MS) return;
      const holdMs = Math.min(
        MAX_SUSPICION_MS,
        MIN_SUSPICION_MS * 2 ** record.consecutiveSuspicions,
      );
      record.consecutiveSuspicions += 1;
      record.suspectedUntilMs = nowMs + holdMs;
      log.warn('server suspected', { server: id, cause, holdMs });
      if (!isReportedByPeer) handleSuspected(id, cause);
    },
    recordSuccess: (id, sentSinceMs) => {
      const record = records.find(id);
      if (record) record.fullUntilMs = -Infinity;
      recordReachable(id);
      recordAlive(id, sentSinceMs);
    },
    recordReachable,
    recordAlive,
    recordReplaced: (id, successorId, sentSinceMs) => {
      const record = records.find(id);
      if (!record) return;
      records.endServer(id);
      if (successorId === null || !hasReservedAddress(record)) return;
      const { entry } = record;
      const successor = { ...entry, id: successorId, isLeaving: false, bornMs: null };
      if (!records.addInferred(successor, 'met')) return;
      recordAlive(successorId, sentSinceMs);
      handleInferred(successor);
    },
    hasAnsweredSince: (incarnation, atMs) =>
      records
        .list()
        .some(
          ({ aliveAtMs, entry }) =>
            aliveAtMs > atMs + CRASH_TIME_TOLERANCE_MS && formatIncarnation(entry) === incarnation,
        ),
    recordStartTime: records.recordStartTime,
    addInferred: (entry) => {
      records.addInferred(entry, 'told');
    },
    listUnverified: () => {
      const nowMs = clock.readMonotonicMs();
      return records
        .list()
        .filter(({ pausedUntilMs }) => pausedUntilMs <= nowMs)
        .filter((record) =>
          record.isInferred
            ? nowMs - readHeardAtMs(record) > INFERRED_CHECK_AFTER_MS
            : record.consecutiveSuspicions > 0 && hasReservedAddress(record),
        )
        .map(({ entry }) => entry);
    },
    pruneInferred: () => {
      const nowMs = clock.readMonotonicMs();
      const inferred = records.list().filter(({ isInferred }) => isInferred);
      const old = inferred.filter((record) => nowMs - readHeardAtMs(record) >= INFERRED_TTL_MS);
      old.forEach(({ entry }) => records.forgetServer(entry.id));
      return inferred.length - old.length;
    },
    countServing: () => records.list().filter(isServing).length,
  };
};
