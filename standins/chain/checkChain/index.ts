import { createChainChecker } from '../createChainChecker';
import { parseTokens } from '../parseTokens';
import type { ChainReport } from '../types';

/**
 * Checks, from the caller's stream alone, that it is one whole generation.
 *
 * Each token names its position and a digest over the prompt, all tokens before it and the nonce of
 * its attempt. A skipped position, a position that comes again, and a token of another generation of
 * the same prompt all show.
 *
 * @param promptText - model as the engine knows it, a newline, and the prompt of `renderPrompt`
 * @param texts - texts of the stream in the order of arrival
 * @param options.expectedTokens - length of the whole generation, so that a lost end shows
 * @returns counts, and `ok` if nothing is missing, repeated or mixed
 */
export function checkChain(
  promptText: string,
  texts: readonly string[],
  options: { readonly expectedTokens?: number } = {},
): ChainReport {
  const checker = createChainChecker(promptText);
  parseTokens(texts.join('')).forEach(checker.recordToken);
  return checker.buildReport(options.expectedTokens);
}
