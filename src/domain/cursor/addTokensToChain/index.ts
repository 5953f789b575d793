import { createHash } from 'node:crypto';

/** Hex characters kept of each link: 128 bits, enough against an accidental or sought collision. */
const CHAIN_CHARACTERS = 32;

/**
 * Extends a generation's chain digest by tokens, one link a token.
 *
 * The result depends on the tokens only and not on how they were batched, so that two copies of a
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
