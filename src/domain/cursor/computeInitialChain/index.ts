import { createHash } from 'node:crypto';

const CHAIN_CHARACTERS = 32;

/**
 * Computes the digest with which the hash chain of a generation starts.
 *
 * @param requestDigest - Digest of the request (see `GenerationRequest`).
 * @param generationId - Id of the generation, so that two generations of one request differ from
 *   offset 0.
 * @returns Digest at offset 0.
 */
export const computeInitialChain = (requestDigest: string, generationId: string): string =>
  createHash('sha256')
    .update(`${requestDigest}:${generationId}`)
    .digest('hex')
    .slice(0, CHAIN_CHARACTERS);
