import { err, ok, type Result } from 'neverthrow';
import type { StoreError } from '../../../../src/application/ports';

/** Outages of an in-memory store. */
export type StoreOutage = 'none' | 'unavailable' | 'hang';

/** Switches for the faults of a store in memory, and its counts. */
export interface StoreFaults {
  setOutage(outage: StoreOutage): void;
  /** The next `count` writes take effect, but fail as ambiguous. */
  loseNextAnswers(count: number): void;
  /** The next `count` writes have no effect and fail as ambiguous, like a lost answer. */
  dropNextWrites(count: number): void;
  /** The next `count` writes take effect, and no answer ever comes. */
  hangNextAnswers(count: number): void;
  countReads(): number;
  countWrites(): number;
  resetCounts(): void;
}

/** Runs operations under the faults that are switched on. */
export interface FaultRunner {
  runRead<T>(operation: () => T): Promise<Result<T, StoreError>>;
  runWrite(operation: () => Result<void, StoreError>): Promise<Result<void, StoreError>>;
}

const ambiguous = (): Result<never, StoreError> =>
  err({ kind: 'ambiguous', reason: 'the answer was lost' });

const unavailable = (): Result<never, StoreError> =>
  err({ kind: 'unavailable', reason: 'outage', retryAfterMs: 1000 });

const waitForever = <T>(): Promise<T> => new Promise<T>(() => {});

/** Creates the faults of a store in memory. */
export function createStoreFaults(): StoreFaults & FaultRunner {
  let outage: StoreOutage = 'none';
  let reads = 0;
  let writes = 0;
  const pending = { lose: 0, drop: 0, hang: 0 };

  const takePending = (kind: keyof typeof pending): boolean => {
    if (pending[kind] === 0) return false;
    pending[kind] -= 1;
    return true;
  };
  const checkOutage: Record<StoreOutage, () => Promise<Result<void, StoreError>>> = {
    none: async () => ok(undefined),
    unavailable: async () => unavailable(),
    hang: waitForever,
  };

  return {
    setOutage: (next) => {
      outage = next;
    },
    loseNextAnswers: (count) => {
      pending.lose = count;
    },
    dropNextWrites: (count) => {
      pending.drop = count;
    },
    hangNextAnswers: (count) => {
      pending.hang = count;
    },
    countReads: () => reads,
    countWrites: () => writes,
    resetCounts: () => {
      reads = 0;
      writes = 0;
    },
    runRead: async (operation) => {
      reads += 1;
      const up = await checkOutage[outage]();
      return up.map(operation);
    },
    runWrite: async (operation) => {
      writes += 1;
      const up = await checkOutage[outage]();
      if (up.isErr()) return err(up.error);
      if (takePending('drop')) return ambiguous();
      const result = operation();
      if (takePending('lose')) return ambiguous();
      if (takePending('hang')) return waitForever();
      return result;
    },
  };
}
