import type { RouteTable } from '../../forwarding';

/** Finds the smallest latency goal of all routes; `Infinity` without routes. */
export const findSmallestGoalMs = (table: Pick<RouteTable, 'routesByHost'> | null): number =>
  Math.min(
    ...[...(table?.routesByHost.values() ?? [])].flat().map(({ latencyGoalMs }) => latencyGoalMs),
  );
