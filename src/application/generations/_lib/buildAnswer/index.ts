import type { StoredAnswer, TokenBatch } from '../../../../domain/types';
import type { RunContext } from '../../types';

const listBatches = (context: RunContext): readonly TokenBatch[] => {
  const batches: TokenBatch[] = [];
  let batch = context.log.readBatch(0);
  while (batch) {
    batches.push(batch);
    batch = context.log.readBatch(batches.length);
  }
  return batches;
};

/**
 * Builds the answer to store for a finished generation.
 *
 * @param context - Run that has finished.
 * @returns Answer, or null if this VM does not hold the generation from its first token.
 */
export const buildAnswer = (context: RunContext): StoredAnswer | null => {
  const batches = listBatches(context);
  if (!context.request || batches[0]?.offset !== 0) return null;
  return {
    generationId: context.generationId,
    requestDigest: context.request.digest,
    tokenIds: batches.flatMap(({ tokenIds }) => tokenIds),
    texts: batches.map(({ text }) => text),
    tokenCounts: batches.map(({ tokenIds }) => tokenIds.length),
    finishReason: batches.at(-1)?.finishReason ?? '',
  };
};
