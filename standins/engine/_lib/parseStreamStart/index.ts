import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { renderPrompt } from '../../../chain';
import type { StreamStart } from '../../types';

const DEFAULT_MAX_TOKENS = 256;

const bodySchema = z.looseObject({
  model: z.string(),
  stream: z.literal(true),
  stream_id: z.string().min(1),
  prefix_token_ids: z.array(z.number().int()).default([]),
  priority: z.number().default(0),
  max_tokens: z.number().int().positive().default(DEFAULT_MAX_TOKENS),
  adapter: z.string().default(''),
  /** Of the stand-in only: the length at which the model stops by itself. */
  standin_tokens: z.number().int().positive().optional(),
});

/** Parses the body of a request for a generation; the error says what is wrong. */
export function parseStreamStart(
  object: StreamStart['object'],
  body: unknown,
): Result<StreamStart, string> {
  const parsed = bodySchema.safeParse(body);
  if (!parsed.success) return err(z.prettifyError(parsed.error));
  const { data } = parsed;
  return ok({
    object,
    streamId: data.stream_id,
    model: data.model,
    adapter: data.adapter,
    promptText: renderPrompt(data),
    prefixTokenIds: data.prefix_token_ids,
    priority: data.priority,
    maxTokens: data.max_tokens,
    stopsAt: data.standin_tokens ?? Number.POSITIVE_INFINITY,
  });
}
