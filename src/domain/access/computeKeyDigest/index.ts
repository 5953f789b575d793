import { createHash } from 'node:crypto';

/**
 * Computes the digest under which the configuration lists a bearer key.
 *
 * @param key - bearer key as sent by the caller
 * @returns SHA-256 in lower-case hex
 */
export const computeKeyDigest = (key: string): string =>
  createHash('sha256').update(key).digest('hex');
