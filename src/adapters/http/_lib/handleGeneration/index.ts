import { err, ok, type Result } from 'neverthrow';
import { checkServiceAccess } from '../../../../domain/access';
import {
  buildGenerationRequest,
  parseGenerationBody,
  parseRequestOptions,
} from '../../../../domain/request';
import {
  RunState,
  ServiceKind,
  type Endpoint,
  type GenerationRequest,
} from '../../../../domain/types';
import type { Caller } from '../../../../application/access';
import type { CallerContext, CallerDependencies, CallerError } from '../../types';
import { checkNewWork } from '../checkNewWork';
import { parseJson } from '../parseJson';
import { readBody } from '../readBody';
import { runDelivery, type DeliverySource } from '../runDelivery';
import { sendError } from '../sendError';

/** Validates body, headers and access to the service, and builds the generation request. */
export const checkGenerationRequest = (
  context: CallerContext,
  caller: Caller,
  endpoint: Endpoint,
  body: unknown,
): Result<GenerationRequest, CallerError> => {
  const parsed = parseGenerationBody(endpoint, body);
  if (parsed.isErr()) return err(parsed.error);
  const options = parseRequestOptions((name) => context.req.header(name));
  if (options.isErr()) return err(options.error);
  const service = checkServiceAccess(caller.configuration, caller.workspace, {
    service: parsed.value.model,
    kind: ServiceKind.Model,
  });
  if (service.isErr()) return err(service.error);
  return ok(
    buildGenerationRequest({
      requestId: context.get('requestId'),
      workspace: caller.workspace.name,
      service: service.value,
      endpoint,
      body: parsed.value,
      options: options.value,
    }),
  );
};

/** Builds the properties that all chunks of the answer to a request share. */
export const buildAnswerShape = (request: GenerationRequest): DeliverySource['shape'] => {
  const options = request.body.stream_options as { include_usage?: boolean } | null | undefined;
  return {
    endpoint: request.endpoint,
    model: request.service,
    includeUsage: options?.include_usage === true,
    promptCharacters: request.promptCharacters,
  };
};

/** Handles `POST /v1/chat/completions` and `POST /v1/completions`. */
export const handleGeneration = async (
  context: CallerContext,
  dependencies: CallerDependencies,
  endpoint: Endpoint,
): Promise<Response> => {
  const caller = checkNewWork(context, dependencies);
  if (caller.isErr()) return sendError(context, caller.error);
  const { maxBodyBytes } = caller.value.configuration.limits;
  const bytes = await readBody(context.env.incoming, maxBodyBytes);
  const request = bytes
    .andThen(parseJson)
    .andThen((body) => checkGenerationRequest(context, caller.value, endpoint, body));
  if (request.isErr()) return sendError(context, request.error);
  return runDelivery(context, dependencies, {
    openFeed: (signal) => dependencies.generations.startGeneration(request.value, signal),
    shape: buildAnswerShape(request.value),
    stream: request.value.stream,
    idempotent: request.value.idempotent,
    runStateIfRefused: RunState.NotRun,
  });
};
