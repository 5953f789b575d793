import { addTokenToChain } from '../addTokenToChain';
import { computeChainStart } from '../computeChainStart';
import { computeTokenId } from '../computeTokenId';
import type { ChainReport, ChainToken } from '../types';

/** Takes a caller's stream token by token. */
export interface ChainChecker {
  /** Takes the next token, or null for a piece of text that is none. */
  recordToken(token: ChainToken | null): void;
  /** The verdict so far; `expectedTokens` is the length of the whole generation, if known. */
  buildReport(expectedTokens?: number): ChainReport;
}

/**
 * Creates a checker of one stream; see `checkChain`.
 *
 * @param promptText - model as the engine knows it, a newline, and the prompt of `renderPrompt`
 */
export function createChainChecker(promptText: string): ChainChecker {
  const ids: number[] = [];
  /** Chain value before the next token; null once a gap has made it unknown. */
  let chain: string | null = computeChainStart(promptText);
  let next = 0;
  let tokens = 0;
  let skipped = 0;
  let repeated = 0;
  let mixed = 0;

  const recordRepeat = (token: ChainToken) => {
    repeated += 1;
    if (ids[token.index] !== token.id) mixed += 1;
  };
  const recordGap = (token: ChainToken) => {
    skipped += token.index - next;
    next = token.index;
    chain = null;
  };
  const recordNext = ({ index, nonce, id }: ChainToken) => {
    if (chain !== null && computeTokenId(chain, nonce, index) !== id) mixed += 1;
    chain = chain === null ? null : addTokenToChain(chain, id);
    ids[index] = id;
    next += 1;
    tokens += 1;
  };

  return {
    recordToken: (token) => {
      if (token === null) {
        mixed += 1;
        return;
      }
      if (token.index < next) {
        recordRepeat(token);
        return;
      }
      if (token.index > next) recordGap(token);
      recordNext(token);
    },
    buildReport: (expectedTokens = next) => {
      const missing = skipped + Math.max(0, expectedTokens - next);
      return { tokens, missing, repeated, mixed, ok: missing + repeated + mixed === 0 };
    },
  };
}
