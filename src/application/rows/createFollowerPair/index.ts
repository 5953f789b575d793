import { createStoreClockConverter } from '../_lib/createStoreClockConverter';
import { createRowFollower } from '../createRowFollower';
import type { RowFollower, RowFollowerDependencies } from '../types';

/** A table and the handlers of its rows. */
export type FollowedTable = Pick<
  RowFollowerDependencies,
  'handleRestored' | 'handleRows' | 'table'
>;

/** Dependencies of a follower pair. */
export interface FollowerPairDependencies extends Pick<
  RowFollowerDependencies,
  'burstPauseMs' | 'clock' | 'handleUpdate' | 'log' | 'randomness' | 'store'
> {
  /** Followed with short long polls, whose responses show changes missed in the secondary table. */
  readonly primary: FollowedTable;
  readonly secondary: FollowedTable;
  /** Wait of a long poll whose loss no other response would show, in milliseconds. */
  readonly shortWaitMs: number;
  /** When calls are repeated. */
  readonly times: RowFollowerDependencies['times'];
  /** Age that the rows may reach between two responses, in milliseconds; infinite: no bound. */
  readonly freshMs: number;
  /** Called when this VM's calls to the store begin to fail. */
  readonly handleOutageStart?: () => void;
  /** Age from which the store counts as unreachable while another VM's rows are copied. */
  readonly staleMs: number;
}

/** Followers of two tables of one store. */
export interface FollowerPair {
  readonly primary: RowFollower;
  readonly secondary: RowFollower;
  /** Sets whether this VM follows the store itself, which is the default. */
  setFollowing(isFollowing: boolean): void;
  /** Reads missing changes from the store once; false if the store does not answer. */
  readOnce(): Promise<boolean>;
  /** Age of the older of the two tables, in milliseconds. */
  readAgeMs(): number;
}

/**
 * Wait of the secondary table's long poll. A lost one shows in the primary table's responses, which
 * name the store's newest version. Half of the history that the store keeps, so that the store can
 * still list the changes. Short waits on both tables would cost an idle VM 1.2 calls a second in
 * place of 0.7.
 */
const SECONDARY_WAIT_MS = 10_000;

/** Ages derived from the same response differ by less than this. */
const SAME_AGE_MS = 20;

/**
 * Creates the followers of two tables of one store. The store's responses for the primary table
 * also show whether the secondary follower, which polls less often, misses changes. An outage of
 * the primary follower counts for both.
 */
export const createFollowerPair = ({
  shortWaitMs,
  freshMs,
  handleOutageStart,
  primary: primaryTable,
  secondary: secondaryTable,
  ...shared
}: FollowerPairDependencies): FollowerPair => {
  let isFollowing = true;
  let resumeCallbacks: (() => void)[] = [];
  let isPrimaryReachable = (): boolean => false;
  let isPrimaryAway = (): boolean => false;
  const common = {
    ...shared,
    storeClock: createStoreClockConverter(shared.clock),
    isFollowing: () => isFollowing,
    waitUntilFollowing: () =>
      new Promise<void>((resolve) => {
        if (isFollowing) resolve();
        else resumeCallbacks.push(resolve);
      }),
  };
  const secondary = createRowFollower({
    ...common,
    ...secondaryTable,
    readWaitMs: () => (isPrimaryReachable() ? SECONDARY_WAIT_MS : shortWaitMs),
    // One table's calls show whether the store is back.
    maySend: () => !isPrimaryAway(),
  });
  const primary = createRowFollower({
    ...common,
    ...primaryTable,
    readWaitMs: (ageMs) => (ageMs < freshMs ? Math.min(shortWaitMs, freshMs - ageMs) : 0),
    handleAnswer: secondary.checkAnswer,
    handleOutageStart: () => {
      secondary.renewCall(`calls for table ${primaryTable.table} fail`);
      handleOutageStart?.();
    },
    handleOutageEnd: () => secondary.renewCall('the store answers again'),
  });
  isPrimaryReachable = primary.isStoreReachable;
  isPrimaryAway = primary.isStoreAway;
  return {
    primary,
    secondary,
    setFollowing: (next) => {
      isFollowing = next;
      if (!next) return;
      const resumed = resumeCallbacks;
      resumeCallbacks = [];
      resumed.forEach((resume) => resume());
    },
    readOnce: async () => {
      if (!(await primary.readOnce())) return false;
      // The response showed that the secondary table is complete, or the table must be read itself.
      return secondary.readAgeMs() <= primary.readAgeMs() + SAME_AGE_MS || secondary.readOnce();
    },
    readAgeMs: () => Math.max(primary.readAgeMs(), secondary.readAgeMs()),
  };
};
