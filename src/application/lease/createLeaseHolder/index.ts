import type { Result } from 'neverthrow';
import {
  updateLeaseObservation,
  decodeLeaseRow,
  encodeLeaseRow,
  isOrderAllowed,
  isTakeoverDue,
  LEASE_DURATION_MS,
  ORDER_MARGIN_MS,
  LEASE_RENEWAL_INTERVAL_MS,
  TAKEOVER_MARGIN_MS,
} from '../../../domain/lease';
import type { HeldLease, LeaseRow, LeaseObservation } from '../../../domain/lease';
import type {
  Clock,
  EventLog,
  Randomness,
  StoreError,
  TableItem,
  TableStore,
  WriteCondition,
} from '../../ports';

/** Partition of the lease rows; the sort key is the region. */
export const LEASE_PARTITION = 'lease';
/** Mean interval between two reads of a lease that another process holds. */
const WATCH_INTERVAL_MS = 4_000;
const WATCH_JITTER = 0.25;
const HOLDER_ID_BYTES = 8;

/** Times of a lease, in milliseconds; see `src/domain/lease/leaseTimes.ts`. */
export interface LeaseTimes {
  readonly durationMs: number;
  readonly orderMarginMs: number;
  readonly takeoverMarginMs: number;
}

const DEFAULT_TIMES: LeaseTimes = {
  durationMs: LEASE_DURATION_MS,
  orderMarginMs: ORDER_MARGIN_MS,
  takeoverMarginMs: TAKEOVER_MARGIN_MS,
};

/** Dependencies of the lease holder. */
export interface LeaseHolderDependencies {
  readonly region: string;
  readonly vm: string;
  readonly table: TableStore;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
}

/** Holds, or waits for, the lease under which the engines of a region get orders. */
export interface LeaseHolder {
  start(): void;
  /** Releases the lease; call it after the last order was answered. */
  stop(): Promise<void>;
  /** The fencing token if an order may be sent now, or null. Must be read before each order. */
  readOrderToken(): number | null;
  /** Records a token that an engine has seen; a higher one shows a newer holder of the lease. */
  recordObservedToken(fencingToken: number): void;
  /** The row as last read or written, or null. */
  readLastObservedRow(): LeaseRow | null;
}

/**
 * Creates the holder of a region's lease.
 *
 * The row's revision grows with each renewal and is the fencing token. A lost response is resolved
 * by reading the row back: if the row has this process's id and the attempted revision, the write
 * took effect. If the row can't be read either, the lease counts as not renewed.
 */
export function createLeaseHolder(
  deps: LeaseHolderDependencies,
  { durationMs, orderMarginMs, takeoverMarginMs }: LeaseTimes = DEFAULT_TIMES,
): LeaseHolder {
  const { region, vm, table, clock, randomness, log } = deps;
  const holder = `${vm}-${randomness.readHex(HOLDER_ID_BYTES)}`;
  let held: HeldLease | null = null;
  let observation: LeaseObservation | null = null;
  let minRevision = 0;
  let stopped = false;
  let cancelTimer = (): void => {};

  const buildItem = (row: LeaseRow): TableItem => ({
    partition: LEASE_PARTITION,
    sort: region,
    revision: row.revision,
    body: encodeLeaseRow(row),
    expiresAtS: 0,
  });
  const dropLease = (reason: string): void => {
    if (held !== null) log.warn('lease lost', { region, reason, revision: held.revision });
    held = null;
  };
  const readRow = async (): Promise<boolean> => {
    const read = await table.readItem(LEASE_PARTITION, region);
    if (read.isErr()) return false;
    const item = read.value;
    const decoded = item === null ? null : decodeLeaseRow(item.body, item.revision);
    // A malformed row is not taken over, as an operator must check it first.
    if (decoded?.isErr() === true) {
      log.error('lease row is malformed', { region, reason: decoded.error.reason });
      return false;
    }
    const row = decoded === null ? null : decoded.unwrapOr(null);
    observation = updateLeaseObservation(observation, row, clock.readMonotonicMs());
    return true;
  };
  const confirmWrite = async (
    written: Result<void, StoreError>,
    revision: number,
  ): Promise<boolean> => {
    if (written.isOk()) return true;
    if (written.error.kind !== 'ambiguous') return false;
    const isRead = await readRow();
    return isRead && observation?.row?.holder === holder && observation.row.revision === revision;
  };
  const writeLease = async (before: LeaseRow | null): Promise<void> => {
    const revision = Math.max((before?.revision ?? 0) + 1, minRevision);
    const row: LeaseRow = { holder, vm, durationMs, revision };
    const condition: WriteCondition =
      before === null ? { kind: 'absent' } : { kind: 'revision', revision: before.revision };
    // The lease starts before the write, as the table may apply the write at any time from now on.
    const renewedAtMs = clock.readMonotonicMs();
    const written = await table.writeItem(buildItem(row), condition);
    if (!(await confirmWrite(written, revision))) {
      if (written.isErr() && written.error.kind === 'condition-failed') dropLease('taken over');
      return;
    }
    if (stopped) return;
    if (held === null) log.info('lease taken', { region, revision });
    held = { revision, renewedAtMs, durationMs };
    observation = updateLeaseObservation(observation, row, clock.readMonotonicMs());
  };
  const runCycle = async (): Promise<void> => {
    const isRead = await readRow();
    if (isRead && !stopped && observation !== null) {
      const isOwn = observation.row?.holder === holder;
      if (!isOwn) dropLease('another holder');
      const isDue = isTakeoverDue(observation, clock.readMonotonicMs(), takeoverMarginMs);
      if (isOwn || isDue) await writeLease(observation.row);
    }
    if (stopped) return;
    const jitter = 1 + WATCH_JITTER * (2 * randomness.readFraction() - 1);
    cancelTimer = clock.startTimer(
      held === null ? WATCH_INTERVAL_MS * jitter : LEASE_RENEWAL_INTERVAL_MS,
      runCycle,
    );
  };

  return {
    start: () => {
      runCycle();
    },
    stop: async () => {
      stopped = true;
      cancelTimer();
      const last = held;
      held = null;
      if (last === null) return;
      const revision = last.revision + 1;
      const row: LeaseRow = { holder: '', vm, durationMs, revision };
      const condition: WriteCondition = { kind: 'revision', revision: last.revision };
      // If this write fails, the next holder waits until the lease expires, as after a crash.
      await table.writeItem(buildItem(row), condition);
    },
    readOrderToken: () =>
      isOrderAllowed(held, clock.readMonotonicMs(), orderMarginMs)
        ? (held?.revision ?? null)
        : null,
    recordObservedToken: (fencingToken) => {
      if (held === null || fencingToken <= held.revision) return;
      minRevision = fencingToken + 1;
      dropLease('an engine has seen a higher token');
    },
    readLastObservedRow: () => observation?.row ?? null,
  };
}
