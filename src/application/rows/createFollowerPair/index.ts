import { createStoreClockConverter } from '../_lib/createStoreClockConverter';
import { createRowFollower } from '../createRowFollower';
import type { RowFollower, RowFollowerDependencies } from '../types';

/** A table and who takes its rows. */
export type FollowedTable = Pick<
  RowFollowerDependencies,
  'handleRestored' | 'handleRows' | 'table'
>;

/** What a pair needs. */
export interface FollowerPairDependencies extends Pick<
  RowFollowerDependencies,
  'burstPauseMs' | 'clock' | 'handleAdvance' | 'log' | 'randomness' | 'store'
> {
  /** Its calls wait briefly; their answers show what the other table's calls miss. */
  readonly primary: FollowedTable;
  readonly secondary: FollowedTable;
  /** Wait of a call whose loss nothing else shows, in milliseconds. */
  readonly shortWaitMs: number;
  /** What is known may grow this old between two answers, in milliseconds; infinite: no bound. */
  readonly freshMs: number;
  /** Knowledge older than this counts as cut off while another VM's is taken. */
  readonly staleMs: number;
}

/** Followers of two tables of one store. */
export interface FollowerPair {
  readonly primary: RowFollower;
  readonly secondary: RowFollower;
  /** Whether the store is followed from here; it is, until said otherwise. */
  setFollowing(isFollowing: boolean): void;
  /** Asks the store once for what is missing; false if it does not answer. */
  readOnce(): Promise<boolean>;
  /** Age of the older knowledge of the two, in milliseconds. */
  readAgeMs(): number;
}

/**
 * Wait of a call whose loss the other table's answers show, each of which names the store's newest
 * version. Half of the history that the store keeps, so that it can still tell what changed since.
 * With short waits on both tables a quiet VM would make 1.2 calls a second, not 0.7.
 */
const GUARDED_WAIT_MS = 10_000;

/** Ages that come from one answer differ by less. */
const SAME_ANSWER_MS = 20;

/**
 * Creates the followers of two tables of one store. What the store answers for the first also tells
 * whether the second, which asks less often, misses anything; an outage of the first is taken for
 * one of both.
 */
export const createFollowerPair = ({
  shortWaitMs,
  freshMs,
  primary: guardTable,
  secondary: guardedTable,
  ...shared
}: FollowerPairDependencies): FollowerPair => {
  let isFollowing = true;
  let waiters: (() => void)[] = [];
  let isGuardReachable = (): boolean => false;
  const common = {
    ...shared,
    storeClock: createStoreClockConverter(shared.clock),
    isFollowing: () => isFollowing,
    waitUntilFollowing: () =>
      new Promise<void>((resolve) => {
        if (isFollowing) resolve();
        else waiters.push(resolve);
      }),
  };
  const guarded = createRowFollower({
    ...common,
    ...guardedTable,
    readWaitMs: () => (isGuardReachable() ? GUARDED_WAIT_MS : shortWaitMs),
  });
  const guard = createRowFollower({
    ...common,
    ...guardTable,
    readWaitMs: (ageMs) => (ageMs < freshMs ? Math.min(shortWaitMs, freshMs - ageMs) : 0),
    handleAnswer: guarded.checkAnswer,
    handleOutageStart: () => guarded.abortCall(`${guardTable.table} is lost`),
  });
  isGuardReachable = guard.isStoreReachable;
  return {
    primary: guard,
    secondary: guarded,
    setFollowing: (next) => {
      isFollowing = next;
      if (!next) return;
      const resumed = waiters;
      waiters = [];
      resumed.forEach((resume) => resume());
    },
    readOnce: async () => {
      if (!(await guard.readOnce())) return false;
      // The answer showed that nothing is missing of the other table, or it must be asked for.
      return guarded.readAgeMs() <= guard.readAgeMs() + SAME_ANSWER_MS || guarded.readOnce();
    },
    readAgeMs: () => Math.max(guard.readAgeMs(), guarded.readAgeMs()),
  };
};
