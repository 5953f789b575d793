import type { ClaimedRequest, GenerationRun, GenerationsContext } from '../../types';
import { buildInitialChain } from '../buildInitialChain';
import { buildRun, type ExistingStream } from '../buildRun';

/**
 * Builds the run of a claimed request, which starts at its first token.
 *
 * @param context - Generations of this VM.
 * @param claimed - Request.
 * @param start - Generation id, and the engine's stream if one is taken over.
 * @returns Run; the caller adds it to the store.
 */
export const buildClaimedRun = (
  context: GenerationsContext,
  { request }: ClaimedRequest,
  start: {
    readonly generationId: string;
    readonly existingStream: ExistingStream | null;
    readonly newestAttempt: number;
  },
): GenerationRun =>
  buildRun(context, {
    ...start,
    workspace: request.workspace,
    service: request.service,
    request,
    chain: buildInitialChain(request, start.generationId),
    missingTokens: 0,
    prefixTokenIds: [],
    keyed: true,
  });
