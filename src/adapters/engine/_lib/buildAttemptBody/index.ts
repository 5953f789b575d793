import type { AttemptStart } from '../../../../application/ports';

/** Fields of the caller that would contradict the attempt's own. */
const REPLACED_FIELDS: ReadonlySet<string> = new Set([
  'max_completion_tokens',
  'stream_options',
  'adapter',
]);

/**
 * Builds the JSON body of an attempt: the caller's, with the engine protocol's fields set.
 *
 * @param start - Attempt to send.
 * @returns Body for the engine.
 */
export const buildAttemptBody = (start: AttemptStart): Readonly<Record<string, unknown>> => ({
  ...Object.fromEntries(
    Object.entries(start.request.body).filter(([name]) => !REPLACED_FIELDS.has(name)),
  ),
  model: start.model,
  stream: true,
  stream_id: start.streamId,
  prefix_token_ids: start.prefixTokenIds,
  priority: start.priority,
  return_token_ids: true,
  max_tokens: start.request.maxOutputTokens,
  ...(start.adapter ? { adapter: start.adapter } : {}),
});
