import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { checkServiceAccess } from '../../../../domain/access';
import {
  Endpoint,
  RunState,
  ServiceKind,
  type Cursor,
  type GenerationRequest,
} from '../../../../domain/types';
import type { Caller } from '../../../../application/access';
import type { CallerContext, CallerDependencies, CallerError } from '../../types';
import { checkCursor } from '../checkCursor';
import { checkNewWork } from '../checkNewWork';
import { buildAnswerShape, checkGenerationRequest } from '../handleGeneration';
import { parseJson } from '../parseJson';
import { readBody } from '../readBody';
import { runDelivery, type DeliverySource } from '../runDelivery';
import { sendError } from '../sendError';

/** Content of a resume request besides its cursor. */
interface ResumeContent {
  readonly prefixTokenIds: readonly number[] | null;
  readonly request: GenerationRequest | null;
  readonly endpoint: Endpoint;
}

const EndpointSchema = z.enum([Endpoint.Chat, Endpoint.Completion]);

const ResumeBodySchema = z.object({
  prefix_token_ids: z.array(z.int().nonnegative()).nullish(),
  request: z.record(z.string(), z.unknown()).nullish(),
  endpoint: EndpointSchema.optional(),
});

/** Chooses the endpoint; if the body names none, a request with a `prompt` means completions. */
const chooseEndpoint = (body: z.infer<typeof ResumeBodySchema>): Endpoint =>
  body.endpoint ?? (body.request?.prompt === undefined ? Endpoint.Chat : Endpoint.Completion);

const parseResumeBody = (
  context: CallerContext,
  caller: Caller,
  value: unknown,
): Result<ResumeContent, CallerError> => {
  const parsed = ResumeBodySchema.safeParse(value);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const message = issue?.message ?? 'not accepted';
    return err({ kind: 'bad-field', field: issue?.path.join('.') || 'body', message });
  }
  const endpoint = chooseEndpoint(parsed.data);
  const prefixTokenIds = parsed.data.prefix_token_ids ?? null;
  const body = parsed.data.request ?? null;
  if (body === null) return ok({ prefixTokenIds, endpoint, request: null });
  return checkGenerationRequest(context, caller, endpoint, body).map((request) => ({
    prefixTokenIds,
    endpoint,
    request,
  }));
};

const readContent = async (
  context: CallerContext,
  caller: Caller,
): Promise<Result<ResumeContent, CallerError>> => {
  if (context.req.method === 'GET') {
    const endpoint = EndpointSchema.safeParse(context.req.query('endpoint') ?? Endpoint.Chat);
    return endpoint.success
      ? ok({ prefixTokenIds: null, request: null, endpoint: endpoint.data })
      : err({ kind: 'bad-field', field: 'endpoint', message: 'not chat or completion' });
  }
  const bytes = await readBody(context.env.incoming, caller.configuration.limits.maxBodyBytes);
  return bytes.andThen(parseJson).andThen((value) => parseResumeBody(context, caller, value));
};

/**
 * Checks the cursor and the access to its service: a configuration after the cursor was issued may
 * have revoked the access.
 */
const checkResume = (
  context: CallerContext,
  { cursors }: CallerDependencies,
  caller: Caller,
): Result<Cursor, CallerError> =>
  checkCursor(cursors, context.req.header('Last-Event-ID'), {
    workspace: caller.workspace.name,
    generationId: context.req.param('id') ?? '',
  }).andThen((cursor) =>
    checkServiceAccess(caller.configuration, caller.workspace, {
      service: cursor.service,
      kind: ServiceKind.Model,
    })
      .map(() => cursor)
      .mapErr((error): CallerError => error),
  );

const buildResumeShape = (content: ResumeContent, cursor: Cursor): DeliverySource['shape'] => {
  if (content.request !== null) return buildAnswerShape(content.request);
  const { endpoint } = content;
  return { endpoint, model: cursor.service, includeUsage: false, promptCharacters: 0 };
};

/**
 * Sends an error to a resuming caller, with the run state `unknown`: the generation may have run,
 * and after `not-run` the caller would start it a second time.
 */
const sendRefusal = (context: CallerContext, error: CallerError): Response =>
  sendError(context, error, { runState: RunState.Unknown });

/** Handles `GET` and `POST /v1/generations/{id}/events`, with which a caller resumes a stream. */
export const handleResume = async (
  context: CallerContext,
  dependencies: CallerDependencies,
): Promise<Response> => {
  const caller = checkNewWork(context, dependencies);
  if (caller.isErr()) return sendRefusal(context, caller.error);
  const cursor = checkResume(context, dependencies, caller.value);
  if (cursor.isErr()) return sendRefusal(context, cursor.error);
  const content = await readContent(context, caller.value);
  if (content.isErr()) return sendRefusal(context, content.error);
  const { prefixTokenIds, request } = content.value;
  const resume = {
    requestId: context.get('requestId'),
    cursor: cursor.value,
    prefixTokenIds,
    request,
  };
  return runDelivery(context, dependencies, {
    openFeed: (signal) => dependencies.generations.resumeGeneration(resume, signal),
    shape: buildResumeShape(content.value, cursor.value),
    stream: true,
    idempotent: true,
    runStateIfRefused: RunState.Unknown,
  });
};
