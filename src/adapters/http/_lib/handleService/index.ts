import type { IncomingHttpHeaders } from 'node:http';
import { pipeline } from 'node:stream/promises';
import { Readable } from 'node:stream';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { checkServiceAccess } from '../../../../domain/access';
import { parseRequestOptions } from '../../../../domain/request';
import { ServiceKind } from '../../../../domain/types';
import type { ServiceAnswer } from '../../../../application/services';
import type { CallerContext, CallerDependencies } from '../../types';
import { checkNewWork } from '../checkNewWork';
import { readBody } from '../readBody';
import { sendError } from '../sendError';
import { endWorkOnClose, watchResponse, startStallTimeout } from '../watchResponse';

/** Hop-by-hop headers (RFC 9110, 7.6.1), and headers that the entry sets or does not forward. */
const DROPPED_REQUEST_HEADERS: readonly string[] = [
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'jackdaw-idempotent',
  'jackdaw-request-id',
  'jackdaw-timeout-ms',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
];

/** Hop-by-hop headers of an answer, and headers that the entry sets. */
const DROPPED_ANSWER_HEADERS: readonly string[] = [
  'connection',
  'jackdaw-request-id',
  'jackdaw-run-state',
  'keep-alive',
  'proxy-authenticate',
  'transfer-encoding',
  'upgrade',
];

const convertHeaders = (headers: IncomingHttpHeaders): Record<string, string> => {
  // Headers listed in `Connection` are hop-by-hop too.
  const connectionHeaders = (headers.connection ?? '')
    .split(',')
    .map((name) => name.trim().toLowerCase());
  return Object.fromEntries(
    Object.entries(headers)
      .filter(
        ([name]) => !DROPPED_REQUEST_HEADERS.includes(name) && !connectionHeaders.includes(name),
      )
      .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : (value ?? '')]),
  );
};

/** Reads the path below the service, with the query, as the caller sent it. */
const readServicePath = (context: CallerContext): string => {
  const url = context.env.incoming.url ?? '/';
  const rest = /^\/services\/[^/?]+(.*)$/.exec(url)?.[1] ?? '';
  return rest.startsWith('/') ? rest : `/${rest}`;
};

const sendAnswer = async (
  context: CallerContext,
  { response, runState }: ServiceAnswer,
): Promise<void> => {
  const { outgoing } = context.env;
  const headers = Object.entries(response.headers).filter(
    ([name]) => !DROPPED_ANSWER_HEADERS.includes(name),
  );
  outgoing.writeHead(response.status, {
    ...Object.fromEntries(headers.map(([name, value]) => [name, value as string | string[]])),
    'Jackdaw-Request-Id': context.get('requestId'),
    'Jackdaw-Run-State': runState,
  });
  startStallTimeout(outgoing);
  // If the answer breaks off, `pipeline` destroys the connection, so that the caller does not take
  // a truncated answer for a complete one.
  await pipeline(Readable.from(response.body, { objectMode: false }), outgoing).catch(
    () => undefined,
  );
};

const runCall = async (
  context: CallerContext,
  dependencies: CallerDependencies,
): Promise<Response> => {
  const caller = checkNewWork(context, dependencies);
  if (caller.isErr()) return sendError(context, caller.error);
  const { configuration, workspace } = caller.value;
  const options = parseRequestOptions((name) => context.req.header(name));
  if (options.isErr()) return sendError(context, options.error);
  const service = checkServiceAccess(configuration, workspace, {
    service: context.req.param('service') ?? '',
    kind: ServiceKind.Plain,
  });
  if (service.isErr()) return sendError(context, service.error);
  const bytes = await readBody(context.env.incoming, configuration.limits.maxBodyBytes);
  if (bytes.isErr()) return sendError(context, bytes.error);
  const requestId = context.get('requestId');
  const answer = await dependencies.services.callService(
    {
      workspace: workspace.name,
      service: service.value,
      call: {
        requestId,
        method: context.req.method,
        path: readServicePath(context),
        headers: {
          ...convertHeaders(context.env.incoming.headers),
          'jackdaw-request-id': requestId,
        },
        body: bytes.value,
      },
      idempotencyKey: options.value.idempotencyKey,
      idempotent: options.value.idempotent,
      timeoutMs: options.value.timeoutMs ?? service.value.timeoutMs,
    },
    watchResponse(context.env.outgoing).signal,
  );
  if (answer.isErr()) return sendError(context, { kind: 'failed', error: answer.error });
  await sendAnswer(context, answer.value);
  return RESPONSE_ALREADY_SENT;
};

/**
 * Handles any method on `/services/{service}/*`. A shutdown waits for the call to end, since a call
 * has no cursor to resume with.
 */
export const handleService = async (
  context: CallerContext,
  dependencies: CallerDependencies,
): Promise<Response> => {
  const work = dependencies.shutdown.startWork(null);
  if (work === null) return sendError(context, { kind: 'shutting-down' });
  try {
    return await runCall(context, dependencies);
  } finally {
    endWorkOnClose(context.env.outgoing, work);
  }
};
