import { decodeQuarantine, encodeQuarantine } from '../../../domain/forwarding';
import type { Clock, EventLog, RowSource, RowWriter, SharedRow } from '../../ports';
import { startLoop } from '../../time';
import type { CrashHistory } from '../createCrashHistory';

/** What rows of quarantines need. */
export interface QuarantineRowsDependencies {
  readonly table: string;
  readonly store: Pick<RowSource, 'readRows'> & RowWriter;
  readonly crashes: Pick<CrashHistory, 'findQuarantine' | 'mergeOutcome'>;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Rows of requests that crashed nothing for this long are removed. */
  readonly retentionMs: number;
}

/** Keeps quarantines in the shared store, for processes that all end at the same moment. */
export interface QuarantineRows {
  /** Reads what was written before this process started. */
  startRead(): void;
  /** Writes a quarantine that began here, unless it is void a moment later. */
  startWrite(fingerprint: string): void;
  /** Writes those again that this process wrote, as the store may have lost them. */
  startRewrite(): void;
  stop(): void;
}

/** By then a server that only reset a connection has answered something else. */
const CONFIRM_MS = 500;

/** Time between two tries of a call that failed. */
const RETRY_MS = 1000;
const MAX_TRIES = 30;

/** Rows removed at a time: the rest waits for the next start of a VM. */
const MAX_REMOVED = 100;

/** Creates what keeps quarantines in a table of the shared store. */
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

  /** Repeats a call until it works; `runOnce` returns why it did not, or null. */
  const startTries = (
    call: string,
    firstDelayMs: number,
    runOnce: () => Promise<string | null>,
  ): void => {
    let tries = 0;
    const handleFailure = (reason: string): number | null => {
      tries += 1;
      log.warn('quarantine rows failed', { call, reason, tries });
      return tries < MAX_TRIES ? RETRY_MS : null;
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

  /** Takes a row; false if it is too old to be kept. */
  const takeRow = ({ key, value }: SharedRow): boolean => {
    const read = decodeQuarantine(key, value ?? Buffer.alloc(0));
    if (read.isErr()) {
      log.warn('quarantine row refused', { fingerprint: key, reason: read.error });
      return true;
    }
    const { lastCrashAtMs, servers } = read.value;
    const ageMs = Math.max(0, clock.readWallMs() - lastCrashAtMs);
    if (ageMs >= retentionMs) return false;
    servers.forEach((server) =>
      crashes.mergeOutcome({
        fingerprint: key,
        requestId: 'stored',
        server,
        hasCrashed: true,
        ageMs,
      }),
    );
    return true;
  };

  const readAll = async (): Promise<string | null> => {
    const read = await store.readRows(table);
    if (read.isErr()) return read.error.kind;
    const old = read.value.rows
      .filter((row) => !takeRow(row))
      .map(({ key }) => key)
      .slice(0, MAX_REMOVED);
    log.info('quarantine rows read', { rows: read.value.rows.length, removed: old.length });
    if (old.length === 0) return null;
    const removed = await store.changeRows({ table, writes: [], removed: old });
    return removed.isErr() ? removed.error.kind : null;
  };

  const write = async (fingerprint: string): Promise<string | null> => {
    const quarantine = crashes.findQuarantine(fingerprint);
    if (!quarantine) {
      written.delete(fingerprint);
      return null;
    }
    const monotonicToWallMs = clock.readWallMs() - clock.readMonotonicMs();
    const lastCrashAtMs = quarantine.lastCrashAtMs + monotonicToWallMs;
    const value = encodeQuarantine({ ...quarantine, lastCrashAtMs });
    const answered = await store.changeRows({
      table,
      writes: [{ key: fingerprint, value }],
      removed: [],
    });
    if (answered.isErr()) return answered.error.kind;
    written.add(fingerprint);
    log.info('quarantine written', { fingerprint, servers: quarantine.servers.join(', ') });
    return null;
  };

  return {
    startRead: () => startTries('read', 0, readAll),
    startWrite: (fingerprint) => startTries('write', CONFIRM_MS, () => write(fingerprint)),
    startRewrite: () =>
      written.forEach((fingerprint) => startTries('rewrite', 0, () => write(fingerprint))),
    stop: () => stops.forEach((stop) => stop()),
  };
};
