import {
  createRowFollower,
  type RowFollower,
  type RowFollowerDependencies,
} from '../createRowFollower';

/** A table and who takes its rows. */
export type FollowedTable = Pick<RowFollowerDependencies, 'handleRows' | 'table'>;

/** What a pair needs. */
export interface FollowerPairDependencies extends Omit<
  RowFollowerDependencies,
  keyof FollowedTable | 'handleAnswer' | 'handleLost' | 'readWaitMs'
> {
  /** Its calls wait briefly; their answers show what the other table's calls miss. */
  readonly guard: FollowedTable;
  readonly guarded: FollowedTable;
  /** Wait of a call whose loss nothing else shows, in milliseconds. */
  readonly aloneWaitMs: number;
}

/** Followers of two tables of one store. */
export interface FollowerPair {
  readonly guard: RowFollower;
  readonly guarded: RowFollower;
}

/**
 * Wait of a call whose loss the other table's answers show, each of which names the store's newest
 * version. Half of the history that the store keeps, so that it can still tell what changed since.
 * With short waits on both tables a quiet VM would make 1.2 calls a second, not 0.7.
 */
const GUARDED_WAIT_MS = 10_000;

/**
 * Creates the followers of two tables of one store. What the store answers for the first also tells
 * whether the second, which asks less often, misses anything; an outage of the first is taken for
 * one of both.
 */
export const createFollowerPair = ({
  aloneWaitMs,
  guard: guardTable,
  guarded: guardedTable,
  ...shared
}: FollowerPairDependencies): FollowerPair => {
  let isGuardReachable = (): boolean => false;
  const guarded = createRowFollower({
    ...shared,
    ...guardedTable,
    readWaitMs: () => (isGuardReachable() ? GUARDED_WAIT_MS : aloneWaitMs),
  });
  const guard = createRowFollower({
    ...shared,
    ...guardTable,
    readWaitMs: () => aloneWaitMs,
    handleAnswer: guarded.checkAnswer,
    handleLost: () => guarded.dropCall(`${guardTable.table} is lost`),
  });
  isGuardReachable = guard.isStoreReachable;
  return { guard, guarded };
};
