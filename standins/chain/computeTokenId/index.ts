import { createHash } from 'node:crypto';

/**
 * Computes the id that the stand-in engine gives to a token.
 *
 * @param chain - chain value before the token, lower-case hex
 * @param nonce - random text of the attempt, lower-case hex
 * @param index - position in the generation, from 0
 * @returns the first 32 bits of SHA-256 over the three, unsigned
 */
export function computeTokenId(chain: string, nonce: string, index: number): number {
  return createHash('sha256').update(`${chain}:${nonce}:${index}`).digest().readUInt32BE(0);
}
