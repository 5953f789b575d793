import { computeRendezvousWeight } from '../computeRendezvousWeight';

/**
 * Chooses the members that own a key, by rendezvous hashing: a member that comes or goes moves only
 * the keys that it owned.
 *
 * @param members - names of those that may own it, in any order
 * @param key - name of what is owned, for example a backend server to poll
 * @param count - owners wanted, at least 1
 * @returns at most `count` members, first owner first; empty if there are no members
 *
 * @example
 * chooseOwners(['vm-1', 'vm-2', 'vm-3'], 'engine-7', 2); // for example ['vm-3', 'vm-1']
 */
export const chooseOwners = (
  members: readonly string[],
  key: string,
  count: number,
): readonly string[] =>
  members
    .map((member) => ({ member, rank: computeRendezvousWeight(key, member) }))
    .sort((a, b) => b.rank - a.rank || (a.member < b.member ? -1 : 1))
    .slice(0, count)
    .map(({ member }) => member);
