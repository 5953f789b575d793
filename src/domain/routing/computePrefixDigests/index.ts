import { createHash } from 'node:crypto';

/**
 * Prefix lengths are multiples of this; part of the wire format of cache events
 * (docs/ARCHITECTURE.md).
 */
export const PREFIX_CUT_CHARACTERS = 256;

/** Highest number of digests of one prompt; part of the wire format of cache events. */
export const MAX_PREFIXES = 64;

const DIGEST_HEX_CHARACTERS = 16;

/**
 * Computes the digests of a prompt's prefixes, shortest first.
 *
 * Digest i covers the first i × `PREFIX_CUT_CHARACTERS` characters; a shorter rest has no digest.
 *
 * @param text - the prompt; for a chat the messages joined as `role\ncontent\n`
 * @returns at most `MAX_PREFIXES` strings of 16 hex characters
 */
export function computePrefixDigests(text: string): readonly string[] {
  const count = Math.min(MAX_PREFIXES, Math.floor(text.length / PREFIX_CUT_CHARACTERS));
  const hash = createHash('sha256');
  return Array.from({ length: count }, (_, index) => {
    const start = index * PREFIX_CUT_CHARACTERS;
    hash.update(text.slice(start, start + PREFIX_CUT_CHARACTERS));
    return hash.copy().digest('hex').slice(0, DIGEST_HEX_CHARACTERS);
  });
}
