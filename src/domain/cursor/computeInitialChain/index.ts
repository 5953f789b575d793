import { createHash } from 'node:crypto';

const CHAIN_CHARACTERS = 32;

/**
 * Computes the chain digest of a generation before its first token.
 *
 * @param requestDigest - Digest of the request (see `GenerationRequest`).
 * @param generationId - Id of the generation: two generations of one request differ from offset 0.
 * @returns Digest at offset 0.
 */
export const computeInitialChain = (requestDigest: string, generationId: string): string =>
  createHash('sha256')
    .update(`${requestDigest}:${generationId}`)
    .digest('hex')
    .slice(0, CHAIN_CHARACTERS);
