import type { Result } from 'neverthrow';
import {
  compareIncarnations,
  formatIncarnation,
  type ServerEntry,
} from '../../../../domain/forwarding';
import type { Clock, EventLog, SharedRow } from '../../../ports';
import type { RowsOrigin } from '../../../rows';
import { createBoundedMap } from '../../../_lib/createBoundedMap';
import { createEntryTombstones } from '../createEntryTombstones';
import { createIncarnationSet } from '../createIncarnationSet';
import { buildServerRecord, type ServerRecord } from '../buildServerRecord';

/** Dependencies of the server records. */
export interface ServerRecordsDependencies {
  readonly decode: (id: string, value: Buffer) => Result<ServerEntry, string>;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Called with a server that is gone or that was restarted, and its incarnation until then. */
  readonly handleGone: (id: string, incarnation: string) => void;
}

/** Keeps a record of each known server, and distinguishes its incarnations. */
export interface ServerRecords {
  find(id: string): ServerRecord | undefined;
  list(): readonly ServerRecord[];
  applyRows(rows: readonly SharedRow[], info: RowsOrigin): void;
  /** Marks a server as surely ended: its runs are lost. */
  endServer(id: string): void;
  /** Forgets a server without concluding that it ended. */
  forgetServer(id: string): void;
  /** Adds a server that has no entry yet; returns false if it is known or has ended. */
  addInferred(entry: ServerEntry, source: string): boolean;
  /** Records that a server announced in a response that it accepts no new work. */
  recordLeaving(id: string): void;
  /** Records the start time that a server stated; null if it stated none. */
  recordStartTime(id: string, bornMs: number | null): void;
}

/**
 * Grace period for missing entries after a store outage. Entries that expired while the store was
 * down are written again within two seconds of its return.
 */
const LAPSED_ENTRY_GRACE_MS = 2200;

/** Refused entries whose reasons are remembered: a writer repeats its entry with each heartbeat. */
const MAX_REFUSED_ENTRIES = 1000;

/** Creates the server records, with no servers yet. */
export const createServerRecords = ({
  clock,
  decode,
  handleGone,
  log,
}: ServerRecordsDependencies): ServerRecords => {
  const records = new Map<string, ServerRecord>();
  /** Incarnations that surely ended: late entries do not restore them. */
  const endedIncarnations = createIncarnationSet();
  /** Incarnations whose entries were removed: only an entry restores them. */
  const removedIncarnations = createIncarnationSet();
  /** Removed entries: a restored copy of the store does not bring them back. */
  const tombstones = createEntryTombstones();
  /**
   * Incarnations that announced their leaving in a response; entries written before are overridden.
   */
  const leavingIncarnations = createIncarnationSet();

  const refusalReasons = createBoundedMap<string>(MAX_REFUSED_ENTRIES);

  const removeIfGone = (id: string, record: ServerRecord): void => {
    if (records.get(id) !== record || record.goneAtMs > clock.readMonotonicMs()) return;
    records.delete(id);
    tombstones.add(record.entry);
    log.info('server gone', { server: id, service: record.entry.service });
    handleGone(id, formatIncarnation(record.entry));
  };

  /** Marks a server as gone from now on, unless it is already. */
  const removeRecord = (id: string, record: ServerRecord): void => {
    Object.assign(record, { goneAtMs: Math.min(record.goneAtMs, clock.readMonotonicMs()) });
    removeIfGone(id, record);
  };

  /** Marks the incarnation as surely ended: its runs are lost. */
  const endIncarnation = (id: string, record: ServerRecord): void => {
    endedIncarnations.add(record.entry);
    removeRecord(id, record);
    [...record.lossHandlers].forEach((handleLoss) => handleLoss());
  };

  const handleEntryRemoved = (id: string, info: RowsOrigin): void => {
    const record = records.get(id);
    if (!record || record.goneAtMs !== Infinity) return;
    removedIncarnations.add(record.entry);
    const nowMs = clock.readMonotonicMs();
    const storeBackAtMs = info.outageEndedAtMs;
    const holdMs =
      storeBackAtMs === null ? 0 : Math.max(0, storeBackAtMs + LAPSED_ENTRY_GRACE_MS - nowMs);
    record.goneAtMs = nowMs + holdMs;
    if (holdMs > 0) log.info('server entry lapsed in an outage', { server: id, holdMs });
    if (holdMs === 0) removeIfGone(id, record);
    else clock.startTimer(holdMs + 1, () => removeIfGone(id, record));
  };

  /**
   * Adds a record. Any other server with the same address counts as gone. Its runs continue and its
   * next entry restores it, because the new entry is weak evidence: another writer may have written
   * it.
   */
  const addRecord = (entry: ServerEntry): ServerRecord => {
    const record = buildServerRecord(entry, clock.readMonotonicMs());
    records.set(entry.id, record);
    records.forEach((other, id) => {
      if (id !== entry.id && other.entry.address === entry.address) removeRecord(id, other);
    });
    return record;
  };

  /** Replaces the record of a server that restarted under its id; its previous state is void. */
  const replaceRecord = (previous: ServerRecord, entry: ServerEntry): void => {
    log.warn('server born anew', {
      server: entry.id,
      bornMs: entry.bornMs ?? 0,
      before: previous.entry.bornMs ?? 0,
      running: previous.running,
    });
    records.set(entry.id, buildServerRecord(entry, clock.readMonotonicMs()));
    handleGone(entry.id, formatIncarnation(previous.entry));
    [...previous.lossHandlers].forEach((handleLoss) => handleLoss());
  };

  const markLeaving = (entry: ServerEntry): ServerEntry =>
    leavingIncarnations.has(entry) ? { ...entry, isLeaving: true } : entry;

  /** True if a restored copy of the store has an older state of the server than this VM. */
  const isStaleEntry = (entry: ServerEntry): boolean => {
    const known = records.get(entry.id);
    if (!known) return tombstones.has(entry);
    return known.entry.isLeaving && !entry.isLeaving && entry.sequence <= known.entry.sequence;
  };

  const applyEntry = (decoded: ServerEntry, { isRestored }: RowsOrigin): void => {
    if (isRestored && isStaleEntry(decoded)) {
      log.info('server entry of a copy ignored', {
        server: decoded.id,
        sequence: decoded.sequence,
      });
      return;
    }
    const entry = markLeaving(decoded);
    const { bornMs, id, isLeaving, service } = entry;
    const known = records.get(id);
    if (!known) {
      if (endedIncarnations.has(entry)) return;
      log.info('server known', { server: id, service, zone: entry.availabilityZone, isLeaving });
      addRecord(entry);
      return;
    }
    const order = compareIncarnations(known.entry.bornMs, bornMs);
    if (order === 'older') return;
    if (order === 'newer') replaceRecord(known, entry);
    else {
      if (known.entry.isLeaving !== isLeaving)
        log.info('server leaving', { server: id, isLeaving });
      const merged = { ...entry, bornMs: bornMs ?? known.entry.bornMs };
      Object.assign(known, { entry: merged, goneAtMs: Infinity, isInferred: false });
    }
  };

  const applyValue = (id: string, value: Buffer, info: RowsOrigin): void => {
    const decoded = decode(id, value);
    if (decoded.isOk()) {
      refusalReasons.delete(id);
      applyEntry(decoded.value, info);
      return;
    }
    // An invalid entry also removes a known server, whoever wrote the entry: no usable address is
    // left.
    if (refusalReasons.get(id) !== decoded.error) {
      refusalReasons.set(id, decoded.error);
      log.error('server entry refused', { server: id, reason: decoded.error });
    }
    const known = records.get(id);
    if (known) removeRecord(id, known);
  };

  const addInferred = (entry: ServerEntry, source: string): boolean => {
    const isOver = endedIncarnations.has(entry) || removedIncarnations.has(entry);
    if (records.has(entry.id) || isOver) return false;
    log.info('server inferred', { server: entry.id, address: entry.address, source });
    Object.assign(addRecord(markLeaving(entry)), { isInferred: true });
    return true;
  };

  return {
    find: (id) => records.get(id),
    list: () => [...records.values()],
    applyRows: (rows, info) =>
      rows.forEach(({ key, value }) =>
        value === null ? handleEntryRemoved(key, info) : applyValue(key, value, info),
      ),
    endServer: (id) => {
      const record = records.get(id);
      if (record) endIncarnation(id, record);
    },
    forgetServer: (id) => {
      const record = records.get(id);
      if (!record) return;
      records.delete(id);
      handleGone(id, formatIncarnation(record.entry));
    },
    addInferred,
    recordLeaving: (id) => {
      const record = records.get(id);
      if (!record || leavingIncarnations.has(record.entry)) return;
      leavingIncarnations.add(record.entry);
      log.info('server said that it leaves', { server: id, isLeaving: record.entry.isLeaving });
      record.entry = markLeaving(record.entry);
    },
    recordStartTime: (id, bornMs) => {
      const known = records.get(id);
      if (!known || bornMs === null) return;
      const entry = { ...known.entry, bornMs };
      if (compareIncarnations(known.entry.bornMs, bornMs) === 'newer') {
        // The announcement of leaving came from the previous incarnation.
        replaceRecord(known, { ...entry, isLeaving: false });
      } else if (known.entry.bornMs === null) Object.assign(known, { entry });
    },
  };
};
