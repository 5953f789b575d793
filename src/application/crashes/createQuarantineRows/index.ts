import {
  decodeQuarantine,
  isPartFingerprint,
  listTriedServers,
  mergeQuarantine,
} from '../../../domain/crashes';
import { findStorableQuarantine } from '../_lib/findStorableQuarantine';
import { readQuarantineRow } from '../_lib/readQuarantineRow';
import { writeQuarantineRow } from '../_lib/writeQuarantineRow';
import type { Clock, EventLog, RowSource, RowWriter, SharedRow } from '../../ports';
import { startLoop } from '../../time';
import type { CrashHistory } from '../createCrashHistory';

/** Dependencies of the quarantine rows. */
export interface QuarantineRowsDependencies {
  readonly table: string;
  readonly store: Pick<RowSource, 'readRows'> & RowWriter;
  readonly crashes: Pick<CrashHistory, 'findQuarantine' | 'mergeOutcome'>;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Rows whose last crash is older than this are removed. */
  readonly retentionMs: number;
}

/** Persists quarantines in the shared store, so that they survive if all processes end at once. */
export interface QuarantineRows {
  /** Reads the quarantines that were written before this process started. */
  startRead(): void;
  /**
   * False while they are being read: a request that this VM sends meanwhile may be in quarantine.
   */
  isRead(): boolean;
  /**
   * Waits for the read only a while longer: what this VM serves by is known, and other VMs that told
   * it have also told their quarantines.
   */
  limitReadWait(): void;
  /**
   * Writes a quarantine of whose crashes this VM observed any, unless it is lifted shortly after; what
   * other VMs wrote of it is kept.
   */
  startWrite(fingerprint: string): void;
  /** Removes a quarantine that an answer to this VM has ended. */
  startRemove(fingerprint: string): void;
  /** Writes this process's quarantines again, as the store may have lost them. */
  startRewrite(): void;
  stop(): void;
}

/**
 * Delay before a quarantine is written: by then a server that only reset a connection has answered
 * another request.
 */
const CONFIRM_DELAY_MS = 500;

/** Time between two attempts of a failed call. */
const RETRY_MS = 1000;
const MAX_ATTEMPTS = 30;

/** The same for the read at the start, for which requests wait; it goes on until it succeeds. */
const READ_RETRY_MS = 200;

/** Longest time without the quarantines once the configuration is known. */
const MAX_READ_WAIT_MS = 2000;

/** Time between the crashes of a part's row, so that they count as separate ones. */
const STORED_CRASH_GAP_MS = 1000;

/** Maximum number of rows removed at once; the next VM that starts removes more. */
const MAX_REMOVED_ROWS = 100;

/** Creates the quarantine rows in a table of the shared store. */
export const createQuarantineRows = ({
  clock,
  crashes,
  retentionMs,
  log,
  store,
  table,
}: QuarantineRowsDependencies): QuarantineRows => {
  const stops = new Set<() => void>();
  const written = new Set<string>();
  /** Fingerprints of which a write has not begun yet; it writes all that is known by then. */
  const pendingWrites = new Set<string>();
  let isReadPending = false;
  let isWaitLimited = false;

  const endReadWait = (reason: string): void => {
    if (!isReadPending) return;
    isReadPending = false;
    log.info('quarantines awaited', { reason });
  };

  /** Retries a call until it succeeds; `runOnce` resolves with the reason of a failure, or null. */
  const startWithRetries = (
    call: string,
    firstDelayMs: number,
    runOnce: () => Promise<string | null>,
    { maxAttempts, retryMs } = { maxAttempts: MAX_ATTEMPTS, retryMs: RETRY_MS },
  ): void => {
    let tries = 0;
    const handleFailure = (reason: string): number | null => {
      tries += 1;
      log.warn('quarantine rows failed', { call, reason, tries });
      return tries < maxAttempts ? retryMs : null;
    };
    const stop = startLoop({
      clock,
      firstDelayMs,
      handleFailure,
      runStep: async () => {
        const reason = await runOnce();
        if (reason !== null) return handleFailure(reason);
        stops.delete(stop);
        return null;
      },
    });
    stops.add(stop);
  };

  /** Merges a row into the crash history; returns false if the row is too old to be kept. */
  const mergeRow = ({ key, value }: SharedRow): boolean => {
    const read = decodeQuarantine(key, value ?? Buffer.alloc(0));
    if (read.isErr()) {
      log.warn('quarantine row refused', { fingerprint: key, reason: read.error });
      return true;
    }
    const { isCertain, lastCrashAtMs, ranMs } = read.value;
    const ageMs = Math.max(0, clock.readWallMs() - lastCrashAtMs);
    // A hold that is not certain has no meaning after a restart.
    if (ageMs >= retentionMs || !isCertain) return false;
    const isPart = isPartFingerprint(key);
    listTriedServers(read.value).forEach((server, index) =>
      crashes.mergeOutcome({
        fingerprint: key,
        // The row of a part names no requests: each crash counts as one under a request of its own.
        requestId: isPart ? `stored ${server}` : 'stored',
        server,
        hasCrashed: true,
        isConfirmed: true,
        ranMs,
        ageMs: ageMs + (isPart ? index * STORED_CRASH_GAP_MS : 0),
      }),
    );
    return true;
  };

  const readQuarantines = async (): Promise<string | null> => {
    const read = await store.readRows(table);
    if (read.isErr()) return read.error.kind;
    const old = read.value.rows
      .filter((row) => !mergeRow(row))
      .map(({ key }) => key)
      .slice(0, MAX_REMOVED_ROWS);
    log.info('quarantine rows read', { rows: read.value.rows.length, removed: old.length });
    endReadWait('read');
    if (old.length === 0) return null;
    const removed = await store.changeRows({ table, writes: [], removed: old });
    return removed.isErr() ? removed.error.kind : null;
  };

  const writeQuarantine = async (fingerprint: string): Promise<string | null> => {
    pendingWrites.delete(fingerprint);
    const known = findStorableQuarantine({ clock, crashes }, fingerprint);
    if (!known?.isCertain) {
      written.delete(fingerprint);
      return null;
    }
    const read = await readQuarantineRow({ store, table }, fingerprint);
    if (read.isErr()) return read.error;
    const { quarantine: stored, version } = read.value;
    const merged = mergeQuarantine(stored, known);
    // Each VM that observed a crash comes to write; most find that another has.
    if (stored === null || merged.servers.length > stored.servers.length) {
      const reason = await writeQuarantineRow({ store, table }, merged, version);
      if (reason !== null) return reason;
      log.info('quarantine written', { fingerprint, servers: merged.servers.join(', ') });
    }
    written.add(fingerprint);
    return null;
  };

  const removeQuarantine = async (fingerprint: string): Promise<string | null> => {
    written.delete(fingerprint);
    if (crashes.findQuarantine(fingerprint)?.isCertain) return null;
    const answered = await store.changeRows({ table, writes: [], removed: [fingerprint] });
    return answered.isErr() ? answered.error.kind : null;
  };

  return {
    startRead: () => {
      isReadPending = true;
      const retries = { maxAttempts: Infinity, retryMs: READ_RETRY_MS };
      startWithRetries('read', 0, readQuarantines, retries);
    },
    isRead: () => !isReadPending,
    limitReadWait: () => {
      if (!isReadPending || isWaitLimited) return;
      isWaitLimited = true;
      stops.add(clock.startTimer(MAX_READ_WAIT_MS, () => endReadWait('not read in time')));
    },
    startWrite: (fingerprint) => {
      if (pendingWrites.has(fingerprint)) return;
      pendingWrites.add(fingerprint);
      startWithRetries('write', CONFIRM_DELAY_MS, () => writeQuarantine(fingerprint));
    },
    startRemove: (fingerprint) =>
      startWithRetries('remove', CONFIRM_DELAY_MS, () => removeQuarantine(fingerprint)),
    startRewrite: () =>
      written.forEach((fingerprint) =>
        startWithRetries('rewrite', 0, () => writeQuarantine(fingerprint)),
      ),
    stop: () => stops.forEach((stop) => stop()),
  };
};
