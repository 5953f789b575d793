import { PART_PREFIX } from '../formatPartFingerprint';

/**
 * Tells whether a fingerprint is that of a prompt part.
 *
 * @example
 * isPartFingerprint('part-5c1e07a2'); // => true
 */
export const isPartFingerprint = (fingerprint: string): boolean =>
  fingerprint.startsWith(PART_PREFIX);
