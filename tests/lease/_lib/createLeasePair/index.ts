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

/** Longest time that an order is under way. */
export const ORDER_CALL_MS = 2_000;

/** A process that may hold the lease, on a clock that can be paused. */
export interface TestHolder extends PausableClock {
  readonly holder: LeaseHolder;
  /** The token under which it would send an order now; null also while it is paused. */
  readOrderToken(): number | null;
}

/** Two processes over one table, and a watch over the orders that they may send. */
export interface LeasePair {
  readonly clock: FakeClock;
  readonly table: MemoryTableStore;
  readonly holders: readonly [TestHolder, TestHolder];
  /** Lets time pass in small steps; after each, notes who may order. */
  advance(durationMs: number): Promise<void>;
  /** Overlaps of two holders' orders, and orders with a token that went down. */
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

/** Creates two processes that want the same lease. */
export function createLeasePair(times?: LeaseTimes): LeasePair {
  const clock = createFakeClock();
  const table = createMemoryTableStore();
  const holders = [
    createHolder('a', { clock, table, times }),
    createHolder('b', { clock, table, times }),
  ] as const;
  const orders: Order[] = [];
  const faults: string[] = [];

  const recordOrder = (name: string, token: number): void => {
    const order = { name, token, atMs: clock.readMonotonicMs() };
    const overlap = orders.find(
      (other) => other.name !== name && order.atMs - other.atMs < ORDER_CALL_MS,
    );
    const newer = orders.find((other) => other.token > token);
    if (overlap) faults.push(`${name} orders at ${order.atMs} beside ${overlap.name}`);
    if (newer) faults.push(`${name} orders with ${token} after ${newer.token}`);
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
        // A process that is back may order before it has read anything.
        recordOrders();
        holders.forEach(({ runDelayed }) => runDelayed());
        await clock.advanceAsync(STEP_MS);
        recordOrders();
      }
    },
    listViolations: () => faults,
  };
}
