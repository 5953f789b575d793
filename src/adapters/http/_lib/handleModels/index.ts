import { RunState, ServiceKind } from '../../../../domain/types';
import { checkCaller } from '../../../../application/access';
import type { CallerContext, CallerDependencies } from '../../types';
import { sendError } from '../sendError';

/** Handles `GET /v1/models`: lists the models that the caller's workspace may use. */
export const handleModels = (
  context: CallerContext,
  { configuration }: CallerDependencies,
): Response => {
  const caller = checkCaller(configuration, context.req.header('Authorization'));
  if (caller.isErr()) return sendError(context, caller.error);
  const { services } = caller.value.configuration;
  const allowed = caller.value.workspace.services;
  const data = services
    .filter(({ kind, name }) => kind === ServiceKind.Model && allowed.includes(name))
    .map(({ name }) => ({ id: name, object: 'model', created: 0, owned_by: 'jackdawmount' }));
  return new Response(JSON.stringify({ object: 'list', data }), {
    headers: {
      'Content-Type': 'application/json',
      'Jackdaw-Request-Id': context.get('requestId'),
      'Jackdaw-Run-State': RunState.NotRun,
    },
  });
};
