import {
  updateLeaseObservation,
  isOrderAllowed,
  isTakeoverDue,
  type HeldLease,
  type LeaseRow,
  type LeaseObservation,
} from '../../../../src/domain/lease';
import type { Model } from '../findViolation';

/** The rules under test; a test may replace one by a faulty one. */
export interface LeaseRules {
  readonly updateLeaseObservation: typeof updateLeaseObservation;
  readonly isOrderAllowed: typeof isOrderAllowed;
  readonly isTakeoverDue: typeof isTakeoverDue;
  /** Whether the lease starts when the write is sent or when it is answered. */
  readonly countsFrom: 'send' | 'answer';
}

/** The rules that the keeper uses. */
export const LEASE_RULES: LeaseRules = {
  updateLeaseObservation,
  isOrderAllowed,
  isTakeoverDue,
  countsFrom: 'send',
};

/** Duration and margins of the lease, in ticks of the model. */
const DURATION = 2;
const ORDER_MARGIN = 1;
const TAKEOVER_MARGIN = 1;
/** Older ages are equivalent, since every duration and margin has passed. */
const MAX_AGE = DURATION + TAKEOVER_MARGIN + 1;

interface PendingWrite {
  readonly row: LeaseRow;
  readonly expectedRevision: number | null;
  readonly sentAt: number;
  /** Whether the write was applied; null until the write reaches the table. */
  readonly isWritten: boolean | null;
}

/** One keeper: reads the lease, writes the lease where the rules allow, and sends orders. */
interface Keeper {
  readonly observation: LeaseObservation | null;
  readonly held: HeldLease | null;
  /** A write without an answer yet; applied at any time or never. */
  readonly pending: PendingWrite | null;
  /** Revision and send time of an order in flight. */
  readonly order: { readonly revision: number; readonly sentAt: number } | null;
}

/** State of the model: the row, two keepers, and an engine that ignores fencing tokens. */
export interface LeaseWorld {
  readonly now: number;
  readonly row: LeaseRow | null;
  readonly keepers: readonly [Keeper, Keeper];
  /** Writes that arrive after their sender gave them up. */
  readonly delayed: readonly PendingWrite[];
  /** Highest revision among the orders that the engine accepted. */
  readonly highestRevision: number;
  readonly faultsLeft: number;
  readonly violation: string | null;
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

/** Formats times as capped ages, so that the state space is finite. */
function formatKey(world: LeaseWorld): string {
  const formatAge = (atMs: number): number => Math.min(MAX_AGE, world.now - atMs);
  const formatKeeper = ({ observation, held, pending, order }: Keeper): string =>
    [
      observation && `${formatRow(observation.row)}@${formatAge(observation.firstSeenAtMs)}`,
      held && `${held.revision}@${formatAge(held.renewedAtMs)}`,
      pending && `${formatWrite(pending)}@${formatAge(pending.sentAt)}`,
      order && `${order.revision}@${formatAge(order.sentAt)}`,
    ].join(',');
  const { row, keepers, delayed, highestRevision, faultsLeft, violation } = world;
  const parts = [formatRow(row), ...keepers.map(formatKeeper), ...delayed.map(formatWrite)];
  return [...parts, highestRevision, faultsLeft, violation].join(';');
}

/** Creates the model of two keepers that compete for the lease of a region. */
export function createLeaseModel(
  rules: LeaseRules,
  bounds: { readonly faults: number; readonly revisions: number },
): Model<LeaseWorld> {
  const listReads = (world: LeaseWorld, index: number): LeaseWorld[] => {
    const { observation: before, pending } = world.keepers[index] as Keeper;
    if (pending !== null) return [];
    const observation = rules.updateLeaseObservation(before, world.row, world.now);
    const isOwn = world.row?.holder === `keeper-${index}`;
    return [updateKeeper(world, index, isOwn ? { observation } : { observation, held: null })];
  };

  const listWriteStarts = (world: LeaseWorld, index: number): LeaseWorld[] => {
    const { observation, pending } = world.keepers[index] as Keeper;
    if (observation === null || pending !== null) return [];
    const holder = `keeper-${index}`;
    const isOwn = observation.row?.holder === holder;
    if (!isOwn && !rules.isTakeoverDue(observation, world.now, TAKEOVER_MARGIN)) return [];
    const revision = (observation.row?.revision ?? 0) + 1;
    if (revision > bounds.revisions) return [];
    const row: LeaseRow = { holder, vm: holder, durationMs: DURATION, revision };
    const expectedRevision = observation.row?.revision ?? null;
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
    const observation = rules.updateLeaseObservation(null, pending.row, world.now);
    return updateKeeper(world, index, { held, observation, pending: null });
  };

  /** A write reaches the table and is answered later; write and answer may be lost or delayed. */
  const listWriteOutcomes = (world: LeaseWorld, index: number): LeaseWorld[] => {
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
    const delayed = [...lost.delayed, pending];
    return faultsLeft < 0 ? [reached] : [reached, { ...lost, delayed, faultsLeft }];
  };

  const listOrders = (world: LeaseWorld, index: number): LeaseWorld[] => {
    const { held, order } = world.keepers[index] as Keeper;
    if (order !== null) {
      const { revision } = order;
      const isStale = revision < world.highestRevision;
      const arrived = updateKeeper(world, index, { order: null });
      return [
        {
          ...arrived,
          highestRevision: Math.max(world.highestRevision, revision),
          violation: isStale ? 'an old order arrived after a newer one' : world.violation,
        },
      ];
    }
    if (held === null || !rules.isOrderAllowed(held, world.now, ORDER_MARGIN)) return [];
    const sent = { revision: held.revision, sentAt: world.now };
    return [updateKeeper(world, index, { order: sent })];
  };

  /** An order arrives within its margin: time stops while an order of that age is in flight. */
  const listTicks = (world: LeaseWorld): LeaseWorld[] => {
    const isOverdue = world.keepers.some(
      ({ order }) => order !== null && world.now - order.sentAt >= ORDER_MARGIN,
    );
    return isOverdue ? [] : [{ ...world, now: world.now + 1 }];
  };

  const keeper: Keeper = { observation: null, held: null, pending: null, order: null };
  return {
    initial: {
      now: 0,
      row: null,
      keepers: [keeper, keeper],
      delayed: [],
      highestRevision: 0,
      faultsLeft: bounds.faults,
      violation: null,
    },
    listNext: (world) => [
      ...listTicks(world),
      ...[0, 1].flatMap((index) => [
        ...listReads(world, index),
        ...listWriteStarts(world, index),
        ...listWriteOutcomes(world, index),
        ...listOrders(world, index),
      ]),
      ...world.delayed.map((write, n) => ({
        ...applyWrite(world, write),
        delayed: world.delayed.filter((_, other) => other !== n),
      })),
    ],
    checkState: ({ violation }) => violation,
    formatKey,
  };
}
