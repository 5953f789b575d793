import { computeInitialChain } from '../../../../domain/cursor';
import type { GenerationRequest } from '../../../../domain/types';

/**
 * Builds the chain digest of a generation at offset 0.
 *
 * The digest covers whether the request is idempotent. Otherwise a caller that resumes with the
 * right prefix, but without marking the request as non-idempotent, would cause a second run.
 *
 * @param request - Original request.
 * @param generationId - Id of the generation.
 * @returns Chain digest.
 */
export const buildInitialChain = (request: GenerationRequest, generationId: string): string =>
  computeInitialChain(`${request.digest}:${String(request.idempotent)}`, generationId);
