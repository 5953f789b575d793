import type { ChainToken } from '../types';

const ID_HEX_DIGITS = 8;

/** Formats a token as the text that the caller sees. */
export function formatToken(token: ChainToken): string {
  return ` ${token.index}:${token.nonce}:${token.id.toString(16).padStart(ID_HEX_DIGITS, '0')}`;
}
