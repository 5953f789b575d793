const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Computes the 32-bit id of a name (FNV-1a over its UTF-16 code units).
 *
 * News carries ids in place of names that both sides know. With 340 VMs and 600 backend servers,
 * the probability that two names share an id is about 1 in 10,000; a shared id is treated as
 * unknown.
 *
 * @param name - name of a VM or backend server
 * @returns an integer from 0 to 2^32 - 1
 */
export const computeNameId = (name: string): number => {
  let hash = FNV_OFFSET_BASIS;
  for (let index = 0; index < name.length; index += 1) {
    // eslint-disable-next-line no-bitwise -- the hash is defined by exclusive or
    hash = Math.imul(hash ^ name.charCodeAt(index), FNV_PRIME);
  }
  // eslint-disable-next-line no-bitwise -- makes the 32 bits unsigned
  return hash >>> 0;
};
