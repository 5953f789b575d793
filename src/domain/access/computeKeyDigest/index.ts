import { createHash } from 'node:crypto';

/**
 * Gives the digest under which the configuration lists a bearer key.
 *
 * @param key - the bearer key as the caller sent it
 * @returns SHA-256 as lower-case hex
 */
export const computeKeyDigest = (key: string): string =>
  createHash('sha256').update(key).digest('hex');
