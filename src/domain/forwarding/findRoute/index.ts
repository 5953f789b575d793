import type { Route, RouteTable } from '../types';

/**
 * Finds the route of a request by host and longest matching path prefix.
 *
 * @param table - configuration in force
 * @param host - in lower case, without a port
 * @param target - path, with or without a query
 * @returns the route, or null if there is none
 */
export const findRoute = (table: RouteTable, host: string, target: string): Route | null => {
  const [path = ''] = target.split('?');
  // The routes are sorted by prefix length, so that the first match is the longest.
  const routes = table.routesByHost.get(host) ?? [];
  return routes.find(({ prefix }) => path.startsWith(prefix)) ?? null;
};
