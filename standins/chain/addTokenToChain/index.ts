import { createHash } from 'node:crypto';

/**
 * Computes the chain value after one more token.
 *
 * @param chain - value before the token, lower-case hex
 * @param tokenId - the token's id
 * @returns SHA-256 as lower-case hex
 */
export function addTokenToChain(chain: string, tokenId: number): string {
  return createHash('sha256').update(`${chain}:${tokenId}`).digest('hex');
}
