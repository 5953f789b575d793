import type { AttemptStart } from '../../../../application/ports';

/** Fields of the caller's body that conflict with fields of the attempt. */
const REPLACED_FIELDS: ReadonlySet<string> = new Set([
  'max_completion_tokens',
  'stream_options',
  'adapter',
]);

/**
 * Builds the JSON body of an attempt: the caller's body with the fields of the engine protocol.
 *
 * @param start - Attempt to start.
 * @returns Body to send to the engine.
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
