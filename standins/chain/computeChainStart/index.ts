import { createHash } from 'node:crypto';

/**
 * Computes the chain value before the first token.
 *
 * @param promptText - prompt as {@link renderPrompt} gives it
 * @returns SHA-256 as lower-case hex
 */
export function computeChainStart(promptText: string): string {
  return createHash('sha256').update(promptText).digest('hex');
}
