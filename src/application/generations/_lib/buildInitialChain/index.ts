import { computeInitialChain } from '../../../../domain/cursor';
import type { GenerationRequest } from '../../../../domain/types';

/**
 * Builds the chain digest of a generation at offset 0.
 *
 * It covers whether the request may be run again: a caller that comes back with the right prefix
 * but without its mark as non-idempotent would otherwise get a second run of it.
 *
 * @param request - Original request.
 * @param generationId - Id of the generation.
 * @returns Chain digest.
 */
export const buildInitialChain = (request: GenerationRequest, generationId: string): string =>
  computeInitialChain(`${request.digest}:${String(request.idempotent)}`, generationId);
