import { computeRendezvousWeight } from '../computeRendezvousWeight';

/**
 * Chooses the members that own a key, by rendezvous hashing.
 *
 * A member that joins or leaves moves only the keys that it owns.
 *
 * @param members - names of the possible owners, in any order
 * @param key - key to assign, for example the name of a backend server to poll
 * @param count - number of owners, at least 1
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
    .map((member) => ({ member, weight: computeRendezvousWeight(key, member) }))
    .sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
    .slice(0, count)
    .map(({ member }) => member);
