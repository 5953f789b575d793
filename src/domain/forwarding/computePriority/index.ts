import type { KeyHolder, Route } from '../types';

/** Least urgent priority that servers accept. */
const MAX_PRIORITY = 9;

/**
 * Computes the priority of a request in the queue of a server.
 *
 * The priority of the workspace, if it has one, overrides that of the route.
 *
 * @returns an integer from 0, the most urgent, to 9
 *
 * @example
 * computePriority(route, { workspace: 'a', priority: 2 }); // 2
 */
export const computePriority = (
  route: Pick<Route, 'priority'>,
  holder: KeyHolder | null,
): number => {
  const priority = Math.round(holder?.priority ?? route.priority);
  return Math.min(MAX_PRIORITY, Math.max(0, priority));
};
