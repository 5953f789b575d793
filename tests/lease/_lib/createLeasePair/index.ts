import { createLeaseHolder } from '../../../../src/application/lease';
import type { LeaseHolder, LeaseTimes } from '../../../../src/application/lease';
import type { TableStore } from '../../../../src/application/ports';
import {
  createFakeClock,
  createMemoryTableStore,
  createSeededRandomness,
} from '../../../../standins/fakes';
import type { FakeClock, MemoryTableStore } from '../../../../standins/fakes';
import { createPausableClock } from '../../../_lib/createPausableClock';
import type { PausableClock } from '../../../_lib/createPausableClock';

/** Maximum time that an order may be in flight. */
export const ORDER_CALL_MS = 2_000;

/** A process that competes for the lease, on a clock that can be paused. */
export interface TestHolder extends PausableClock {
  readonly holder: LeaseHolder;
  /** Fencing token for an order sent now; null without the lease or while paused. */
  readOrderToken(): number | null;
}

/** Two processes that compete for one lease, and a check of the orders they could send. */
export interface LeasePair {
  readonly clock: FakeClock;
  readonly table: MemoryTableStore;
  readonly holders: readonly [TestHolder, TestHolder];
  /** Advances time in small steps and records after each step which process could send orders. */
  advance(durationMs: number): Promise<void>;
  /** Lists overlapping orders of two holders, and orders with a lower token than an earlier one. */
  listViolations(): readonly string[];
}

interface Order {
  readonly name: string;
  readonly token: number;
  readonly atMs: number;
}

const STEP_MS = 500;

function createHolder(
  vm: string,
  options: { readonly clock: FakeClock; readonly table: TableStore; readonly times?: LeaseTimes },
): TestHolder {
  const clock = createPausableClock(options.clock);
  const log = { info: () => {}, warn: () => {}, error: () => {} };
  const randomness = createSeededRandomness(vm.charCodeAt(0));
  const deps = { region: 'gt', vm, table: options.table, clock, randomness, log };
  const holder = createLeaseHolder(deps, options.times);
  return {
    ...clock,
    holder,
    readOrderToken: () => (clock.isPaused() ? null : holder.readOrderToken()),
  };
}

/** Creates two processes that compete for the same lease. */
export function createLeasePair(times?: LeaseTimes): LeasePair {
  const clock = createFakeClock();
  const table = createMemoryTableStore();
  const holders = [
    createHolder('a', { clock, table, times }),
    createHolder('b', { clock, table, times }),
  ] as const;
  const orders: Order[] = [];
  const violations: string[] = [];

  const recordOrder = (name: string, token: number): void => {
    const order = { name, token, atMs: clock.readMonotonicMs() };
    const overlap = orders.find(
      (other) => other.name !== name && order.atMs - other.atMs < ORDER_CALL_MS,
    );
    const newer = orders.find((other) => other.token > token);
    if (overlap)
      violations.push(
        `${name} sends an order at ${order.atMs} ms that overlaps with one of ${overlap.name}`,
      );
    if (newer)
      violations.push(`${name} sends an order with token ${token} after token ${newer.token}`);
    orders.push(order);
  };
  const recordOrders = (): void =>
    holders.forEach((holder, index) => {
      const token = holder.readOrderToken();
      if (token !== null) recordOrder(`holder ${index}`, token);
    });

  return {
    clock,
    table,
    holders: [holders[0], holders[1]],
    advance: async (durationMs) => {
      for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
        // A resumed process may send an order before it reads the lease row.
        recordOrders();
        holders.forEach(({ runDelayed }) => runDelayed());
        await clock.advanceAsync(STEP_MS);
        recordOrders();
      }
    },
    listViolations: () => violations,
  };
}
