import type { ChainToken } from '../types';

const TOKEN_PATTERN = /^(\d+):([0-9a-f]+):([0-9a-f]{8})$/;

/**
 * Parses the text of a whole stream.
 *
 * @param text - all texts of the stream, joined
 * @returns a token for each word, and null for a word that is none (for example one cut in two)
 */
export function parseTokens(text: string): readonly (ChainToken | null)[] {
  const words = text.split(' ').filter((word) => word !== '');
  return words.map((word) => {
    const [, index, nonce, id] = TOKEN_PATTERN.exec(word) ?? [];
    if (index === undefined || nonce === undefined || id === undefined) return null;
    return { index: Number(index), nonce, id: Number.parseInt(id, 16) };
  });
}
