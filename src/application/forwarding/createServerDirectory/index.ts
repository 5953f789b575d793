import type { Result } from 'neverthrow';
import type { ServerEntry, ServerLoad, ServerStatus } from '../../../domain/forwarding';
import type { Clock, EventLog, SharedRow } from '../../ports';
import type { RowsInfo } from '../../rows';
import { buildServerRecord, type ServerRecord } from '../_lib/buildServerRecord';

/** What a directory needs. */
export interface ServerDirectoryDependencies {
  readonly decode: (id: string, value: Buffer) => Result<ServerEntry, string>;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Called with the id of a server that is gone. */
  readonly handleGone: (id: string) => void;
  /** Called when this VM itself begins to suspect a server. */
  readonly handleSuspected: (id: string, cause: SuspicionCause) => void;
}

/** Work that this VM has at a server, until it is released. */
export interface ServerWork {
  /** The prompt has been read: it delays others no more. */
  recordFirstEvent(): void;
  release(): void;
}

/** Why a server is believed to have failed. */
export type SuspicionCause =
  'not-connected' | 'broken' | 'silent' | 'replaced' | 'failing' | 'told';

/** Knows the backend servers, and what this VM has at each. */
export interface ServerDirectory {
  applyRows(rows: readonly SharedRow[], info: RowsInfo): void;
  /** Servers of a service that may take new work. */
  listServing(service: string): readonly ServerStatus[];
  /** A server that may take new work; null if it is leaving or gone. */
  findServing(id: string): ServerEntry | null;
  /** True: it is there, stays, and did not fail lately. */
  isTrusted(id: string): boolean;
  startWork(id: string, prefillTokens: number): ServerWork;
  /** Counts a copy of a run's memory that a server holds; the returned function ends it. */
  addCopy(id: string): () => void;
  recordLoad(id: string, load: ServerLoad): void;
  recordSuspicion(id: string, cause: SuspicionCause): void;
  /** The server answered. */
  recordSuccess(id: string): void;
  countServing(): number;
}

/**
 * Entries that lapsed while the store was down are back within two seconds of its return; until a
 * little later, a missing one is not taken for gone.
 */
const LAPSED_HOLD_MS = 2200;

/** Age up to which a reported load counts. */
const LOAD_AGE_MS = 1000;

/** For this long an answer to this VM weighs more than what another VM says. */
const OWN_EVIDENCE_MS = 200;

/** First time for which a failed server gets work only if all others failed too; it doubles. */
const FIRST_SUSPICION_MS = 1000;
const MAX_SUSPICION_MS = 8000;

/** Creates the directory of the backend servers. */
export const createServerDirectory = (
  dependencies: ServerDirectoryDependencies,
): ServerDirectory => {
  const { clock, decode, handleGone, handleSuspected, log } = dependencies;
  const records = new Map<string, ServerRecord>();

  const isServing = (record: ServerRecord): boolean =>
    !record.entry.isLeaving && record.goneAtMs > clock.readMonotonicMs();

  const dropGone = (id: string, record: ServerRecord): void => {
    if (records.get(id) !== record || record.goneAtMs > clock.readMonotonicMs()) return;
    records.delete(id);
    log.info('server gone', { server: id, service: record.entry.service });
    handleGone(id);
  };

  const endRecord = (id: string, record: ServerRecord): void => {
    Object.assign(record, { goneAtMs: Math.min(record.goneAtMs, clock.readMonotonicMs()) });
    dropGone(id, record);
  };

  const removeEntry = (id: string, info: RowsInfo): void => {
    const record = records.get(id);
    if (!record || record.goneAtMs !== Infinity) return;
    const nowMs = clock.readMonotonicMs();
    const endedAtMs = info.outageEndedAtMs;
    const holdMs = endedAtMs === null ? 0 : Math.max(0, endedAtMs + LAPSED_HOLD_MS - nowMs);
    record.goneAtMs = nowMs + holdMs;
    if (holdMs > 0) log.info('server entry lapsed in an outage', { server: id, holdMs });
    if (holdMs === 0) dropGone(id, record);
    else clock.startTimer(holdMs + 1, () => dropGone(id, record));
  };

  /** A server that starts at the address of another one proves that the other has ended. */
  const replaceOthers = (entry: ServerEntry): void =>
    records.forEach((other, id) => {
      if (id === entry.id || other.entry.address !== entry.address) return;
      endRecord(id, other);
    });

  const applyEntry = (id: string, value: Buffer): void => {
    const decoded = decode(id, value);
    if (decoded.isErr()) {
      log.error('server entry refused', { server: id, reason: decoded.error });
      return;
    }
    const entry = decoded.value;
    const known = records.get(id);
    if (!known) {
      log.info('server known', {
        server: id,
        service: entry.service,
        zone: entry.availabilityZone,
        leaving: entry.isLeaving,
      });
    } else if (known.entry.isLeaving !== entry.isLeaving) {
      log.info('server leaving', { server: id, leaving: entry.isLeaving });
    }
    if (known) Object.assign(known, { entry, goneAtMs: Infinity });
    else {
      records.set(id, buildServerRecord(entry));
      replaceOthers(entry);
    }
  };

  const buildStatus = (record: ServerRecord): ServerStatus => {
    const nowMs = clock.readMonotonicMs();
    const { load } = record;
    const isFresh = load !== null && nowMs - record.loadAtMs < LOAD_AGE_MS;
    return {
      entry: record.entry,
      running: record.running,
      prefillTokens: record.prefillTokens,
      copies: record.copies,
      reported: isFresh ? load.running + load.waiting : 0,
      // One request shows whether it is sound again: the others wait for that elsewhere.
      isSuspected: record.suspectedUntilMs > nowMs || record.trials > 0,
    };
  };

  return {
    applyRows: (rows, info) =>
      rows.forEach(({ key, value }) =>
        value === null ? removeEntry(key, info) : applyEntry(key, value),
      ),
    listServing: (service) =>
      [...records.values()]
        .filter((record) => record.entry.service === service && isServing(record))
        .map(buildStatus),
    findServing: (id) => {
      const record = records.get(id);
      return record && isServing(record) ? record.entry : null;
    },
    isTrusted: (id) => {
      const record = records.get(id);
      if (!record) return false;
      return isServing(record) && record.suspectedUntilMs <= clock.readMonotonicMs();
    },
    startWork: (id, prefillTokens) => {
      const record = records.get(id);
      let unread = prefillTokens;
      let isRunning = true;
      const isTrial = record !== undefined && record.suspicions > 0;
      if (record) {
        record.trials += isTrial ? 1 : 0;
        record.running += 1;
        record.prefillTokens += unread;
      }
      const recordFirstEvent = (): void => {
        if (record) record.prefillTokens -= unread;
        unread = 0;
      };
      return {
        recordFirstEvent,
        release: () => {
          if (!isRunning) return;
          isRunning = false;
          recordFirstEvent();
          if (!record) return;
          record.running -= 1;
          if (isTrial) record.trials = Math.max(0, record.trials - 1);
        },
      };
    },
    addCopy: (id) => {
      const record = records.get(id);
      if (record) record.copies += 1;
      let isHeld = true;
      return () => {
        if (record && isHeld) record.copies -= 1;
        isHeld = false;
      };
    },
    recordLoad: (id, load) => {
      const record = records.get(id);
      if (record) Object.assign(record, { load, loadAtMs: clock.readMonotonicMs() });
    },
    recordSuspicion: (id, cause) => {
      const record = records.get(id);
      if (!record) return;
      const nowMs = clock.readMonotonicMs();
      if (cause === 'replaced') {
        endRecord(id, record);
        return;
      }
      // Several attempts that fail at once are one failure.
      if (record.suspectedUntilMs > nowMs) return;
      // Another VM's path to a server may be cut: what this VM saw itself just now goes first.
      const isToldOnly = cause === 'told';
      if (isToldOnly && nowMs - record.answeredAtMs < OWN_EVIDENCE_MS) return;
      const holdMs = Math.min(MAX_SUSPICION_MS, FIRST_SUSPICION_MS * 2 ** record.suspicions);
      record.suspicions += 1;
      record.suspectedUntilMs = nowMs + holdMs;
      log.warn('server suspected', { server: id, cause, holdMs });
      if (!isToldOnly) handleSuspected(id, cause);
    },
    recordSuccess: (id) => {
      const record = records.get(id);
      if (!record) return;
      const answeredAtMs = clock.readMonotonicMs();
      Object.assign(record, { suspicions: 0, suspectedUntilMs: 0, trials: 0, answeredAtMs });
    },
    countServing: () => [...records.values()].filter(isServing).length,
  };
};
