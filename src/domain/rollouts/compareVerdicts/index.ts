import { RolloutState, type RolloutVerdict } from '../types';

/** Of verdicts that are not stored, the more cautious one takes precedence. */
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
 * Compares two verdicts on a service.
 *
 * The verdict on a newer order takes precedence, then one that the store holds, then the more
 * cautious one.
 *
 * @returns above 0 if the left one takes precedence, below 0 if the right one does, otherwise 0
 */
export const compareVerdicts = (
  left: Pick<RolloutVerdict, 'isStored' | 'sequence' | 'state'>,
  right: Pick<RolloutVerdict, 'isStored' | 'sequence' | 'state'>,
): number => left.sequence - right.sequence || computeRank(left) - computeRank(right);
