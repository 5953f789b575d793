import { RunState } from '../../../../domain/types';
import { checkCaller } from '../../../../application/access';
import type { CallerContext, CallerDependencies } from '../../types';
import { sendError } from '../sendError';

/** Handles `DELETE /v1/generations/{id}`, also while this entry is shutting down. */
export const handleCancel = async (
  context: CallerContext,
  { cancelGeneration, configuration }: CallerDependencies,
): Promise<Response> => {
  const caller = checkCaller(configuration, context.req.header('Authorization'));
  if (caller.isErr()) return sendError(context, caller.error);
  const found = await cancelGeneration({
    workspace: caller.value.workspace.name,
    generationId: context.req.param('id') ?? '',
  });
  if (!found) return sendError(context, { kind: 'unknown-generation' });
  return new Response(null, {
    status: 204,
    headers: {
      'Jackdaw-Request-Id': context.get('requestId'),
      'Jackdaw-Run-State': RunState.Ran,
    },
  });
};
