import { SurvivalMode, type GenerationRequest, type StoredAnswer } from '../../../../domain/types';
import { createGenerationState } from '../../../../domain/generation';
import type { GenerationRun, GenerationsContext } from '../../types';
import { buildInitialChain } from '../buildInitialChain';
import { createRun } from '../createRun';
import { createTokenLog } from '../createTokenLog';

/**
 * Creates a finished run from a stored answer. The answer is replayed in its original batches and
 * can be resumed with a cursor like any other run.
 *
 * @param context - Generations of this VM.
 * @param request - Repeated request.
 * @param answer - Stored answer.
 * @returns Run.
 */
export const createReplayRun = (
  context: GenerationsContext,
  request: GenerationRequest,
  answer: StoredAnswer,
): GenerationRun => {
  const { generationId } = answer;
  const chain = buildInitialChain(request, generationId);
  const log = createTokenLog({ chain, missingTokens: 0, prefixTokenIds: [] });
  let offset = 0;
  answer.texts.forEach((text, index) => {
    const end = offset + (answer.tokenCounts[index] ?? 0);
    const isLast = index === answer.texts.length - 1;
    const finishReason = isLast ? answer.finishReason : null;
    log.append({ offset, tokenIds: answer.tokenIds.slice(offset, end), text, finishReason });
    offset = end;
  });
  const policy = {
    mode: SurvivalMode.Thrift,
    idempotent: request.idempotent,
    keyed: true,
    continuable: false,
    maxOutputTokens: offset,
  };
  return createRun(
    {
      dependencies: context.dependencies,
      cancelQueue: context.cancelQueue,
      latencyHistory: context.latencyHistory,
      serverActivity: context.serverActivity,
      generationId,
      workspace: request.workspace,
      service: request.service,
      request,
      claim: { writer: null },
      deadlineMs: Infinity,
      log,
    },
    { ...createGenerationState(policy, { offset }), phase: 'finished', mayHaveStarted: true },
  );
};
