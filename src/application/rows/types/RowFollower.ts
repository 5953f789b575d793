import type { Clock, EventLog, Randomness, RowChanges, RowSource, SharedRow } from '../../ports';
import type { StoreClockConverter } from '../_lib/createStoreClockConverter';
import type { RowsOrigin } from './RowsOrigin';
import type { TableStatement } from './Statements';

/** What a follower needs. */
export interface RowFollowerDependencies {
  readonly table: string;
  readonly store: RowSource;
  /** Converts the store's times; shared by all tables of a store. */
  readonly storeClock: StoreClockConverter;
  /** How long the next call waits for changes, by the age of what is known. */
  readonly readWaitMs: (ageMs: number) => number;
  /** Resolves when the store may be followed from here. */
  readonly waitUntilFollowing: () => Promise<void>;
  /** Knowledge older than this counts as cut off while another VM's is taken; infinite if none is. */
  readonly staleMs: number;
  /** True while the store is followed from here. */
  readonly isFollowing: () => boolean;
  /** How long the next call is put off after changes, which come in bursts. */
  readonly burstPauseMs: number;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
  /** Takes rows that changed, in the order of their versions. */
  readonly handleRows: (rows: readonly SharedRow[], info: RowsOrigin) => void;
  /** Takes each answer of the store: it also tells of changes in other tables. */
  readonly handleAnswer?: (answer: RowChanges, asOfMs: number) => void;
  /** Called when the store came back from a copy, after its rows were taken. */
  readonly handleRestored?: () => void;
  /** Called when an outage begins here. */
  readonly handleOutageStart?: () => void;
  /** Called when more is known, or the same of a later moment. */
  readonly handleUpdate?: () => void;
}

/** Keeps up with a table. */
export interface RowFollower {
  start(): void;
  stop(): void;
  /** Version up to which no change is missing here; 0 before the first read. */
  readVersion(): number;
  /** Rows that changed after the version; null if that is not known any more. */
  listChanges(afterVersion: number): RowChanges | null;
  /** Takes changes that another VM knows of; `afterVersion` is the version that they follow. */
  mergeChanges(changes: RowChanges, afterVersion: number): void;
  /** Takes what another VM holds; `asOfMs` is the monotonic time of which it is told. */
  mergeStatement(statement: TableStatement, asOfMs: number): void;
  /** Tells another VM what it lacks. */
  buildStatement(afterVersion: number): TableStatement;
  isStoreReachable(): boolean;
  /** Takes the store's answer for another table: gives a call up that should have been answered. */
  checkAnswer(answer: RowChanges, asOfMs: number): void;
  /** Gives up the call that waits, as if it had failed. */
  abortCall(reason: string): void;
  /** Asks the store once, without waiting for changes; false if it does not answer. */
  readOnce(): Promise<boolean>;
  /** How long ago the store surely had no newer change, in milliseconds; infinite at the start. */
  readAgeMs(): number;
}
