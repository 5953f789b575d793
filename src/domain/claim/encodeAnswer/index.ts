import type { StoredAnswer } from '../../types';

/** Encodes a finished answer as the content of its stored object. */
export function encodeAnswer(answer: StoredAnswer): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(answer));
}
