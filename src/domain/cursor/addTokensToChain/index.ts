import { createHash } from 'node:crypto';

/** Links are truncated to 128 bits, which resists both accidental and deliberate collisions. */
const CHAIN_CHARACTERS = 32;

/**
 * Extends the hash chain of a generation by tokens, one link per token.
 *
 * The result depends only on the tokens and not on their batches, so that two copies of a
 * generation can be compared at any offset.
 *
 * @param chain - Digest before the tokens.
 * @param tokenIds - Tokens in order.
 * @returns Digest after the tokens.
 */
export const addTokensToChain = (chain: string, tokenIds: Iterable<number>): string => {
  let link = chain;
  for (const tokenId of tokenIds) {
    link = createHash('sha256')
      .update(`${link}:${tokenId}`)
      .digest('hex')
      .slice(0, CHAIN_CHARACTERS);
  }
  return link;
};
