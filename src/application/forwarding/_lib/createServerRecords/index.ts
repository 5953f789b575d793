import type { Result } from 'neverthrow';
import { compareIncarnations, type ServerEntry } from '../../../../domain/forwarding';
import type { Clock, EventLog, SharedRow } from '../../../ports';
import type { RowsOrigin } from '../../../rows';
import { createEntryTombstones } from '../createEntryTombstones';
import { createIncarnationSet } from '../createIncarnationSet';
import { buildServerRecord, type ServerRecord } from '../buildServerRecord';

/** What records of servers need. */
export interface ServerRecordsDependencies {
  readonly decode: (id: string, value: Buffer) => Result<ServerEntry, string>;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Called with the id of a server that is gone, or that started again. */
  readonly handleGone: (id: string) => void;
}

/** Knows which servers there are, and tells one start of a server from the next. */
export interface ServerRecords {
  find(id: string): ServerRecord | undefined;
  list(): readonly ServerRecord[];
  applyRows(rows: readonly SharedRow[], info: RowsOrigin): void;
  /** Ends a server that surely is not there any more: what runs there is lost. */
  endServer(id: string): void;
  /** Forgets a server of which nothing is known to say that it ended. */
  forgetServer(id: string): void;
  /** Adds a server that has no entry yet; false if it is known, or has ended. */
  addInferred(entry: ServerEntry, source: string): boolean;
  /** The server said in an answer that it takes no new work. */
  recordLeaving(id: string): void;
  /** The server said when it was born; null if it did not. */
  recordStartTime(id: string, bornMs: number | null): void;
}

/**
 * Entries that lapsed while the store was down are back within two seconds of its return; until a
 * little later, a missing one is not taken for gone.
 */
const LAPSED_HOLD_MS = 2200;

/** Creates the records of the backend servers; there are none. */
export const createServerRecords = ({
  clock,
  decode,
  handleGone,
  log,
}: ServerRecordsDependencies): ServerRecords => {
  const records = new Map<string, ServerRecord>();
  /** Servers that surely ended: late entries do not bring them back. */
  const ended = createIncarnationSet();
  /** Servers whose entries went: a copy of the store does not bring them back. */
  const gone = createEntryTombstones();
  /**
   * Servers that said in an answer that they leave: entries that were written before do not count.
   */
  const leaving = createIncarnationSet();

  const dropGone = (id: string, record: ServerRecord): void => {
    if (records.get(id) !== record || record.goneAtMs > clock.readMonotonicMs()) return;
    records.delete(id);
    gone.add(record.entry);
    log.info('server gone', { server: id, service: record.entry.service });
    handleGone(id);
  };

  /** From now on the server is gone, unless it is already. */
  const removeRecord = (id: string, record: ServerRecord): void => {
    Object.assign(record, { goneAtMs: Math.min(record.goneAtMs, clock.readMonotonicMs()) });
    dropGone(id, record);
  };

  /** Ends a server that surely is not there any more: what runs there is lost. */
  const endRecord = (id: string, record: ServerRecord): void => {
    ended.add(record.entry);
    removeRecord(id, record);
    [...record.lossHandlers].forEach((handleVoid) => handleVoid());
  };

  const removeEntry = (id: string, info: RowsOrigin): void => {
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

  /**
   * A server that starts at the address of another one proves that the other has ended. That is an
   * entry's word only, which another writer may have written: the other one's runs go on, and its
   * next entry brings it back.
   */
  const addRecord = (entry: ServerEntry): ServerRecord => {
    const record = buildServerRecord(entry);
    records.set(entry.id, record);
    records.forEach((other, id) => {
      if (id !== entry.id && other.entry.address === entry.address) removeRecord(id, other);
    });
    return record;
  };

  /** The server started again under its id: all that was believed of the one before is void. */
  const restartRecord = (before: ServerRecord, entry: ServerEntry): void => {
    log.warn('server born anew', {
      server: entry.id,
      bornMs: entry.bornMs ?? 0,
      before: before.entry.bornMs ?? 0,
      running: before.running,
    });
    records.set(entry.id, buildServerRecord(entry));
    handleGone(entry.id);
    [...before.lossHandlers].forEach((handleVoid) => handleVoid());
  };

  const markLeaving = (entry: ServerEntry): ServerEntry =>
    leaving.has(entry) ? { ...entry, isLeaving: true } : entry;

  /** True: a copy of the store holds less of the server than is known here. */
  const isSuperseded = (entry: ServerEntry): boolean => {
    const known = records.get(entry.id);
    if (!known) return gone.has(entry);
    return known.entry.isLeaving && !entry.isLeaving && entry.sequence <= known.entry.sequence;
  };

  const applyEntry = (read: ServerEntry, { isRestored }: RowsOrigin): void => {
    if (isRestored && isSuperseded(read)) {
      log.info('server entry of a copy ignored', { server: read.id, sequence: read.sequence });
      return;
    }
    const entry = markLeaving(read);
    const { bornMs, id, isLeaving, service } = entry;
    const known = records.get(id);
    if (!known) {
      if (ended.has(entry)) return;
      log.info('server known', { server: id, service, zone: entry.availabilityZone, isLeaving });
      addRecord(entry);
      return;
    }
    const order = compareIncarnations(known.entry.bornMs, bornMs);
    if (order === 'older') return;
    if (order === 'newer') restartRecord(known, entry);
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
      applyEntry(decoded.value, info);
      return;
    }
    // Also of a server that was known: whoever wrote this, it names no server to use.
    log.error('server entry refused', { server: id, reason: decoded.error });
    const known = records.get(id);
    if (known) removeRecord(id, known);
  };

  const addInferred = (entry: ServerEntry, source: string): boolean => {
    if (records.has(entry.id) || ended.has(entry)) return false;
    log.info('server inferred', { server: entry.id, address: entry.address, source });
    Object.assign(addRecord(markLeaving(entry)), {
      isInferred: true,
      aliveAtMs: clock.readMonotonicMs(),
    });
    return true;
  };

  return {
    find: (id) => records.get(id),
    list: () => [...records.values()],
    applyRows: (rows, info) =>
      rows.forEach(({ key, value }) =>
        value === null ? removeEntry(key, info) : applyValue(key, value, info),
      ),
    endServer: (id) => {
      const record = records.get(id);
      if (record) endRecord(id, record);
    },
    forgetServer: (id) => {
      records.delete(id);
      handleGone(id);
    },
    addInferred,
    recordLeaving: (id) => {
      const record = records.get(id);
      if (!record || leaving.has(record.entry)) return;
      leaving.add(record.entry);
      log.info('server said that it leaves', { server: id, isLeaving: record.entry.isLeaving });
      record.entry = markLeaving(record.entry);
    },
    recordStartTime: (id, bornMs) => {
      const known = records.get(id);
      if (!known || bornMs === null) return;
      const entry = { ...known.entry, bornMs };
      if (compareIncarnations(known.entry.bornMs, bornMs) === 'newer') {
        // The word of the one before is not its own.
        restartRecord(known, { ...entry, isLeaving: false });
      } else if (known.entry.bornMs === null) Object.assign(known, { entry });
    },
  };
};
