import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { StoredAnswer } from '../../types';

/** Content that is not a valid stored answer; the error does not quote the content. */
export interface MalformedAnswer {
  readonly kind: 'malformed-answer';
}

const AnswerContent = z
  .object({
    generationId: z.string(),
    requestDigest: z.string(),
    tokenIds: z.array(z.number()),
    texts: z.array(z.string()),
    tokenCounts: z.array(z.number()),
    finishReason: z.string(),
  })
  .refine(
    ({ tokenIds, texts, tokenCounts }) =>
      texts.length === tokenCounts.length &&
      tokenCounts.reduce((sum, count) => sum + count, 0) === tokenIds.length,
  );

/** Decodes a stored answer; malformed if the batches do not add up to the tokens. */
export function decodeAnswer(content: Uint8Array): Result<StoredAnswer, MalformedAnswer> {
  try {
    return ok(AnswerContent.parse(JSON.parse(new TextDecoder().decode(content))));
  } catch {
    return err({ kind: 'malformed-answer' });
  }
}
