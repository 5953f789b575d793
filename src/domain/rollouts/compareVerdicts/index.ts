import { RolloutState, type RolloutVerdict } from '../types';

/** Without the store's word, the more careful verdict stands. */
const RANKS: Readonly<Record<RolloutState, number>> = {
  [RolloutState.InProgress]: 0,
  [RolloutState.Switching]: 1,
  [RolloutState.Completed]: 2,
  [RolloutState.Reverted]: 3,
};

const STORED_RANK = 10;

const computeRank = ({ isStored, state }: Pick<RolloutVerdict, 'isStored' | 'state'>): number =>
  RANKS[state] + (isStored ? STORED_RANK : 0);

/**
 * Compares two verdicts on one service: a newer order's goes first, then one that the store holds.
 *
 * @returns above 0 if the left one stands, below 0 if the right one does, else 0
 */
export const compareVerdicts = (
  left: Pick<RolloutVerdict, 'isStored' | 'sequence' | 'state'>,
  right: Pick<RolloutVerdict, 'isStored' | 'sequence' | 'state'>,
): number => left.sequence - right.sequence || computeRank(left) - computeRank(right);
