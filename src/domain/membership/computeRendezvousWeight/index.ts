import { computeNameId } from '../computeNameId';

const MIX_MULTIPLIER_A = 0x85ebca6b;
const MIX_MULTIPLIER_B = 0xc2b2ae35;

/**
 * Computes the weight of a member for a key in rendezvous hashing (highest random weight, Thaler
 * and Ravishankar 1998).
 *
 * FNV-1a alone gives similar values for names that differ only in the last letter; the finalizer of
 * MurmurHash3 spreads the difference over all bits.
 *
 * @param key - key to assign
 * @param member - possible owner of the key
 * @returns an integer from 0 to 2^32 - 1; the member with the highest weight owns the key
 */
export const computeRendezvousWeight = (key: string, member: string): number => {
  let hash = computeNameId(`${key}\n${member}`);
  /* eslint-disable no-bitwise -- the finalizer is defined by shifts and exclusive ors */
  hash = Math.imul(hash ^ (hash >>> 16), MIX_MULTIPLIER_A);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_MULTIPLIER_B);
  return (hash ^ (hash >>> 16)) >>> 0;
  /* eslint-enable no-bitwise */
};
