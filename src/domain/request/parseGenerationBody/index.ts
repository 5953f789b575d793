import { err, ok, type Result } from 'neverthrow';
import { Endpoint } from '../../types';
import {
  ChatBodySchema,
  CompletionBodySchema,
  type ChatBody,
  type CompletionBody,
  type RequestError,
} from '../types';

const SCHEMA_BY_ENDPOINT = {
  [Endpoint.Chat]: ChatBodySchema,
  [Endpoint.Completion]: CompletionBodySchema,
} as const;

/**
 * Validates the body of a generation request.
 *
 * @param endpoint - the endpoint of the request, or the one that the caller names on a resume
 * @param value - the parsed JSON
 * @returns the body with all its fields, or the first invalid field, without its content
 */
export const parseGenerationBody = (
  endpoint: Endpoint,
  value: unknown,
): Result<ChatBody | CompletionBody, RequestError> => {
  const parsed = SCHEMA_BY_ENDPOINT[endpoint].safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const issue = parsed.error.issues[0];
  const field = issue?.path.join('.') ?? '';
  const message = issue?.message ?? 'not accepted';
  return err({ kind: 'bad-field', field: field === '' ? 'body' : field, message });
};
