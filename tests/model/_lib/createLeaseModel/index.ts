import {
  updateLeaseObservation,
  isOrderAllowed,
  isTakeoverDue,
  type HeldLease,
  type LeaseRow,
  type LeaseObservation,
} from '../../../../src/domain/lease';
import type { Model } from '../findViolation';

/** The rules under test; a test replaces one by a faulty one. */
export interface LeaseRules {
  readonly updateLeaseObservation: typeof updateLeaseObservation;
  readonly isOrderAllowed: typeof isOrderAllowed;
  readonly isTakeoverDue: typeof isTakeoverDue;
  /** Whether the lease counts from before the write was sent, or from its answer. */
  readonly countsFrom: 'send' | 'answer';
}

/** The product's rules. */
export const LEASE_RULES: LeaseRules = {
  updateLeaseObservation,
  isOrderAllowed,
  isTakeoverDue,
  countsFrom: 'send',
};

/** Lease times in ticks of the model. */
const DURATION = 2;
const ORDER_MARGIN = 1;
const TAKEOVER_MARGIN = 1;
/** Ages beyond this are alike: all of the rules' times have passed. */
const MAX_AGE = DURATION + TAKEOVER_MARGIN + 1;

interface PendingWrite {
  readonly row: LeaseRow;
  readonly expectedRevision: number | null;
  readonly sentAt: number;
  /** Whether it took effect, once it has reached the table. */
  readonly isWritten: boolean | null;
}

/** One keeper: reads, writes the lease where the rules allow it, and sends orders. */
interface Keeper {
  readonly sighting: LeaseObservation | null;
  readonly held: HeldLease | null;
  /** Sent, not answered yet; takes effect at any moment, or never. */
  readonly pending: PendingWrite | null;
  /** Revision and time of an order on its way. */
  readonly order: { readonly revision: number; readonly sentAt: number } | null;
}

/** State of the model: the row, two keepers, and an engine that ignores fencing tokens. */
export interface LeaseWorld {
  readonly now: number;
  readonly row: LeaseRow | null;
  readonly keepers: readonly [Keeper, Keeper];
  /** Writes whose sender gave them up, and that still arrive. */
  readonly late: readonly PendingWrite[];
  /** Highest revision of an order that the engine took. */
  readonly taken: number;
  readonly faultsLeft: number;
  readonly wrong: string | null;
}

const applyWrite = (world: LeaseWorld, write: PendingWrite): LeaseWorld =>
  (world.row?.revision ?? null) === write.expectedRevision ? { ...world, row: write.row } : world;

const updateKeeper = (world: LeaseWorld, index: number, change: Partial<Keeper>): LeaseWorld => ({
  ...world,
  keepers: world.keepers.map((keeper, n) =>
    n === index ? { ...keeper, ...change } : keeper,
  ) as unknown as LeaseWorld['keepers'],
});

const formatRow = (row: LeaseRow | null): string =>
  row === null ? '-' : `${row.holder}:${row.revision}`;

const formatWrite = ({ row, expectedRevision, isWritten }: PendingWrite): string =>
  `${formatRow(row)}/${expectedRevision}/${isWritten}`;

/** Times count only by their age, so that the search ends although time does not. */
function formatKey(world: LeaseWorld): string {
  const formatAge = (atMs: number): number => Math.min(MAX_AGE, world.now - atMs);
  const formatKeeper = ({ sighting, held, pending, order }: Keeper): string =>
    [
      sighting && `${formatRow(sighting.row)}@${formatAge(sighting.firstSeenAtMs)}`,
      held && `${held.revision}@${formatAge(held.renewedAtMs)}`,
      pending && `${formatWrite(pending)}@${formatAge(pending.sentAt)}`,
      order && `${order.revision}@${formatAge(order.sentAt)}`,
    ].join(',');
  const { row, keepers, late, taken, faultsLeft, wrong } = world;
  const parts = [formatRow(row), ...keepers.map(formatKeeper), ...late.map(formatWrite)];
  return [...parts, taken, faultsLeft, wrong].join(';');
}

/** Creates the model of two keepers of one region. */
export function createLeaseModel(
  rules: LeaseRules,
  bounds: { readonly faults: number; readonly revisions: number },
): Model<LeaseWorld> {
  const listReads = (world: LeaseWorld, index: number): LeaseWorld[] => {
    const { sighting: before, pending } = world.keepers[index] as Keeper;
    if (pending !== null) return [];
    const sighting = rules.updateLeaseObservation(before, world.row, world.now);
    const isOwn = world.row?.holder === `keeper-${index}`;
    return [updateKeeper(world, index, isOwn ? { sighting } : { sighting, held: null })];
  };

  const listWriteStarts = (world: LeaseWorld, index: number): LeaseWorld[] => {
    const { sighting, pending } = world.keepers[index] as Keeper;
    if (sighting === null || pending !== null) return [];
    const holder = `keeper-${index}`;
    const isOwn = sighting.row?.holder === holder;
    if (!isOwn && !rules.isTakeoverDue(sighting, world.now, TAKEOVER_MARGIN)) return [];
    const revision = (sighting.row?.revision ?? 0) + 1;
    if (revision > bounds.revisions) return [];
    const row: LeaseRow = { holder, vm: holder, durationMs: DURATION, revision };
    const expectedRevision = sighting.row?.revision ?? null;
    return [
      updateKeeper(world, index, {
        pending: { row, expectedRevision, sentAt: world.now, isWritten: null },
      }),
    ];
  };

  const handleAnswer = (world: LeaseWorld, index: number, pending: PendingWrite): LeaseWorld => {
    if (pending.isWritten !== true)
      return updateKeeper(world, index, { held: null, pending: null });
    const renewedAtMs = rules.countsFrom === 'send' ? pending.sentAt : world.now;
    const held = { revision: pending.row.revision, renewedAtMs, durationMs: DURATION };
    const sighting = rules.updateLeaseObservation(null, pending.row, world.now);
    return updateKeeper(world, index, { held, sighting, pending: null });
  };

  /** A write reaches the table, its answer comes some time after, or either is lost or late. */
  const listWriteEnds = (world: LeaseWorld, index: number): LeaseWorld[] => {
    const pending = world.keepers[index]?.pending ?? null;
    if (pending === null) return [];
    const lost = updateKeeper(world, index, { pending: null });
    const faultsLeft = world.faultsLeft - 1;
    if (pending.isWritten !== null) {
      const answered = handleAnswer(world, index, pending);
      return faultsLeft < 0 ? [answered] : [answered, { ...lost, faultsLeft }];
    }
    const applied = applyWrite(world, pending);
    const isWritten = applied !== world;
    const reached = updateKeeper(applied, index, { pending: { ...pending, isWritten } });
    const late = [...lost.late, pending];
    return faultsLeft < 0 ? [reached] : [reached, { ...lost, late, faultsLeft }];
  };

  const listOrders = (world: LeaseWorld, index: number): LeaseWorld[] => {
    const { held, order } = world.keepers[index] as Keeper;
    if (order !== null) {
      const { revision } = order;
      const isOld = revision < world.taken;
      const arrived = updateKeeper(world, index, { order: null });
      return [
        {
          ...arrived,
          taken: Math.max(world.taken, revision),
          wrong: isOld ? 'an old order arrived after a newer one' : world.wrong,
        },
      ];
    }
    if (held === null || !rules.isOrderAllowed(held, world.now, ORDER_MARGIN)) return [];
    const sent = { revision: held.revision, sentAt: world.now };
    return [updateKeeper(world, index, { order: sent })];
  };

  /** Time stands still while an order is older than the margin: by then it has arrived. */
  const listTicks = (world: LeaseWorld): LeaseWorld[] => {
    const isOverdue = world.keepers.some(
      ({ order }) => order !== null && world.now - order.sentAt >= ORDER_MARGIN,
    );
    return isOverdue ? [] : [{ ...world, now: world.now + 1 }];
  };

  const keeper: Keeper = { sighting: null, held: null, pending: null, order: null };
  return {
    initial: {
      now: 0,
      row: null,
      keepers: [keeper, keeper],
      late: [],
      taken: 0,
      faultsLeft: bounds.faults,
      wrong: null,
    },
    listNext: (world) => [
      ...listTicks(world),
      ...[0, 1].flatMap((index) => [
        ...listReads(world, index),
        ...listWriteStarts(world, index),
        ...listWriteEnds(world, index),
        ...listOrders(world, index),
      ]),
      ...world.late.map((write, n) => ({
        ...applyWrite(world, write),
        late: world.late.filter((_, other) => other !== n),
      })),
    ],
    checkState: ({ wrong }) => wrong,
    formatKey,
  };
}
