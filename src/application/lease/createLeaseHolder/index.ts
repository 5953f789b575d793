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
/** Mean time between two looks at a lease that another process holds. */
const WATCH_MS = 4_000;
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

/** What the holder needs. */
export interface LeaseHolderDependencies {
  readonly region: string;
  readonly vm: string;
  readonly table: TableStore;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
}

/** Holds, or waits for, the lease on a region's engine orders. */
export interface LeaseHolder {
  start(): void;
  /** Gives the lease up; call it after the last order was answered. */
  stop(): Promise<void>;
  /** The fencing token if an order may be sent right now, else null. Ask before each order. */
  readOrderToken(): number | null;
  /** An engine has seen a higher token: someone else holds, or held, the lease. */
  recordObservedToken(fencingToken: number): void;
  /** The row as last seen, or null. */
  readLastObservedRow(): LeaseRow | null;
}

/**
 * Creates the holder of a region's lease.
 *
 * The row's revision grows with each renewal and is the fencing token. A reply that is lost is
 * resolved by reading the row back: if it carries this process's id at the revision that was tried,
 * the write took effect. Where that can't be read either, the lease counts as not renewed.
 */
export function createLeaseHolder(
  deps: LeaseHolderDependencies,
  { durationMs, orderMarginMs, takeoverMarginMs }: LeaseTimes = DEFAULT_TIMES,
): LeaseHolder {
  const { region, vm, table, clock, randomness, log } = deps;
  const holder = `${vm}-${randomness.readHex(HOLDER_ID_BYTES)}`;
  let held: HeldLease | null = null;
  let sighting: LeaseObservation | null = null;
  let leastRevision = 0;
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
    // A row that can't be read is not taken over: an operator must look at it first.
    if (decoded?.isErr() === true) {
      log.error('lease row is malformed', { region, reason: decoded.error.reason });
      return false;
    }
    const row = decoded === null ? null : decoded.unwrapOr(null);
    sighting = updateLeaseObservation(sighting, row, clock.readMonotonicMs());
    return true;
  };
  const isWritten = async (
    written: Result<void, StoreError>,
    revision: number,
  ): Promise<boolean> => {
    if (written.isOk()) return true;
    if (written.error.kind !== 'ambiguous') return false;
    const isRead = await readRow();
    return isRead && sighting?.row?.holder === holder && sighting.row.revision === revision;
  };
  const writeLease = async (before: LeaseRow | null): Promise<void> => {
    const revision = Math.max((before?.revision ?? 0) + 1, leastRevision);
    const row: LeaseRow = { holder, vm, durationMs, revision };
    const condition: WriteCondition =
      before === null ? { kind: 'absent' } : { kind: 'revision', revision: before.revision };
    // The lease counts from before the write: the table may apply it at any moment from here on.
    const renewedAtMs = clock.readMonotonicMs();
    const written = await table.writeItem(buildItem(row), condition);
    if (!(await isWritten(written, revision))) {
      if (written.isErr() && written.error.kind === 'condition-failed') dropLease('taken over');
      return;
    }
    if (stopped) return;
    if (held === null) log.info('lease taken', { region, revision });
    held = { revision, renewedAtMs, durationMs };
    sighting = updateLeaseObservation(sighting, row, clock.readMonotonicMs());
  };
  const runTurn = async (): Promise<void> => {
    const isRead = await readRow();
    if (isRead && !stopped && sighting !== null) {
      const isOwn = sighting.row?.holder === holder;
      if (!isOwn) dropLease('another holder');
      const isDue = isTakeoverDue(sighting, clock.readMonotonicMs(), takeoverMarginMs);
      if (isOwn || isDue) await writeLease(sighting.row);
    }
    if (stopped) return;
    const jitter = 1 + WATCH_JITTER * (2 * randomness.readFraction() - 1);
    cancelTimer = clock.startTimer(
      held === null ? WATCH_MS * jitter : LEASE_RENEWAL_INTERVAL_MS,
      runTurn,
    );
  };

  return {
    start: () => {
      runTurn();
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
      // If this fails the next holder waits the lease out, as after a crash.
      await table.writeItem(buildItem(row), condition);
    },
    readOrderToken: () =>
      isOrderAllowed(held, clock.readMonotonicMs(), orderMarginMs)
        ? (held?.revision ?? null)
        : null,
    recordObservedToken: (fencingToken) => {
      if (held === null || fencingToken <= held.revision) return;
      leastRevision = fencingToken + 1;
      dropLease('an engine has seen a higher token');
    },
    readLastObservedRow: () => sighting?.row ?? null,
  };
}
