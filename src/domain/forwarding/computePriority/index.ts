import type { KeyHolder, Route } from '../types';

/** Least urgent rank that servers know. */
const MAX_PRIORITY = 9;

/**
 * Computes the rank of a request among those that wait at a server: the workspace's where it has
 * one, otherwise the route's, as a whole number from 0, the most urgent, to 9.
 *
 * @example
 * computePriority(route, { workspace: 'a', priority: 2 }); // 2
 */
export const computePriority = (
  route: Pick<Route, 'priority'>,
  holder: KeyHolder | null,
): number => {
  const rank = Math.round(holder?.priority ?? route.priority);
  return Math.min(MAX_PRIORITY, Math.max(0, rank));
};
