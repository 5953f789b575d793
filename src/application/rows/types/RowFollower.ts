import type { Clock, EventLog, Randomness, RowChanges, RowSource, SharedRow } from '../../ports';
import type { StoreTimes } from '../../../domain/forwarding';
import type { StoreClockConverter } from '../_lib/createStoreClockConverter';
import type { RowsOrigin } from './RowsOrigin';
import type { TableStatement } from './Statements';

/** Dependencies of a row follower. */
export interface RowFollowerDependencies {
  readonly table: string;
  readonly store: RowSource;
  /** Converts times of the store's clock to the local clock; shared by all tables of a store. */
  readonly storeClock: StoreClockConverter;
  /** Computes how long the next long poll waits for changes, from the age of the local rows. */
  readonly readWaitMs: (ageMs: number) => number;
  /** Resolves once this VM may follow the store itself. */
  readonly waitUntilFollowing: () => Promise<void>;
  /**
   * Age from which the store counts as unreachable while this VM copies the rows of another VM;
   * infinite if this VM never does so.
   */
  readonly staleMs: number;
  /** Whether this VM follows the store itself. */
  readonly isFollowing: () => boolean;
  /** When calls are repeated. */
  readonly times: Pick<StoreTimes, 'overdueMs' | 'repeatMs'>;
  /** Delay of the next call after a change, since changes come in bursts. */
  readonly burstPauseMs: number;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
  /** Handles changed rows, ordered by version. */
  readonly handleRows: (rows: readonly SharedRow[], origin: RowsOrigin) => void;
  /** Handles each response of the store, which also names changes in other tables. */
  readonly handleAnswer?: (answer: RowChanges, asOfMs: number) => void;
  /** Called after the rows of a store that was restored from a backup were applied. */
  readonly handleRestored?: () => void;
  /** Called when this VM's calls to the store begin to fail, or their answers are overdue. */
  readonly handleOutageStart?: () => void;
  /** Called when the store answers again. */
  readonly handleOutageEnd?: () => void;
  /** While false, calls are put off; they never are if this is missing. */
  readonly maySend?: () => boolean;
  /** Called when rows changed or were confirmed as of a later time. */
  readonly handleUpdate?: () => void;
}

/** Follows the changes of a table. */
export interface RowFollower {
  start(): void;
  stop(): void;
  /** Version up to which the local rows are complete; 0 before the first read. */
  readVersion(): number;
  /** Lists the rows that changed after a version; null if the local history is too short. */
  listChanges(afterVersion: number): RowChanges | null;
  /** Merges changes from another VM; `afterVersion` is the version that they follow. */
  mergeChanges(changes: RowChanges, afterVersion: number): void;
  /** Merges a table statement of another VM, which holds as of the monotonic time `asOfMs`. */
  mergeStatement(statement: TableStatement, asOfMs: number): void;
  /** Builds the statement for a VM whose rows are complete up to `afterVersion`. */
  buildStatement(afterVersion: number): TableStatement;
  isStoreReachable(): boolean;
  /** True from the first failed or overdue call to the store until the next answer. */
  isStoreAway(): boolean;
  /**
   * Compares this table with the store's response for another table. Aborts the waiting call if
   * the response shows a change that the call should have returned.
   */
  checkAnswer(answer: RowChanges, asOfMs: number): void;
  /** Gives up the waiting call, which then counts as failed, and asks anew. */
  renewCall(reason: string): void;
  /** Reads from the store once, without a long poll; false if the store does not answer. */
  readOnce(): Promise<boolean>;
  /** Upper bound on the age of the local rows, in milliseconds; infinite before the first read. */
  readAgeMs(): number;
}
