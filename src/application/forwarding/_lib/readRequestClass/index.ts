import { checkRequestKey, computePriority } from '../../../../domain/forwarding';
import type { RequestClass } from '../../../../domain/scheduling';
import type { ForwardContext, ForwardingDependencies, Refusal } from '../../types';

/**
 * Reads the class of a waiting request under the configuration in force.
 *
 * @returns the refusal that the request would get on arrival, if its route or key is gone
 */
export const readRequestClass = (
  { tables }: Pick<ForwardingDependencies, 'tables'>,
  { holder, request, route }: ForwardContext,
): RequestClass | Refusal => {
  const table = tables.readCurrent();
  if (!table) {
    return { priority: computePriority(route, holder), routePriority: route.priority };
  }
  const current = [...table.routesByHost.values()].flat().find(({ name }) => name === route.name);
  if (!current) return { kind: 'unknown-route', reason: 'no route', retryAfterMs: 0 };
  const access = checkRequestKey(table, current, request.key);
  if (access.isErr()) return { kind: 'unknown-key', reason: access.error, retryAfterMs: 0 };
  return {
    priority: computePriority(current, access.value.holder),
    routePriority: current.priority,
  };
};
