import type { Endpoint, GenerationRequest, Service } from '../../types';
import { computePrefixDigests } from '../../routing';
import { extractPromptText } from '../extractPromptText';
import { computeRequestDigest } from '../computeRequestDigest';
import type { ChatBody, CompletionBody, RequestOptions } from '../types';

/** Validated parts from which a generation request is built. */
export interface GenerationRequestParts {
  readonly requestId: string;
  readonly workspace: string;
  readonly service: Service;
  readonly endpoint: Endpoint;
  readonly body: ChatBody | CompletionBody;
  readonly options: RequestOptions;
}

/** Builds a generation request with its digest, its prefixes and the defaults of the service. */
export const buildGenerationRequest = (parts: GenerationRequestParts): GenerationRequest => {
  const { body, endpoint, options, service, workspace } = parts;
  const prompt = extractPromptText(endpoint, body);
  return {
    requestId: parts.requestId,
    workspace,
    service: service.name,
    endpoint,
    stream: body.stream === true,
    idempotent: service.idempotent && options.idempotent,
    idempotencyKey: options.idempotencyKey,
    maxOutputTokens: body.max_completion_tokens ?? body.max_tokens ?? service.maxOutputTokens,
    timeoutMs: options.timeoutMs ?? service.timeoutMs,
    body,
    digest: computeRequestDigest({ workspace, endpoint, body }),
    promptCharacters: prompt.length,
    prefixes: computePrefixDigests(prompt),
  };
};
