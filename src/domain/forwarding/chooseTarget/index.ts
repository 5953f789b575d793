import type { Route } from '../types';

/**
 * Chooses the service of a request at random, weighted by the route's targets.
 *
 * @param route - route of the request
 * @param draw - random number, from 0 inclusive to 1 exclusive
 * @returns name of the service, or null if no target has a positive weight
 */
export const chooseTarget = (route: Route, draw: number): string | null => {
  const total = route.targets.reduce((sum, { weight }) => sum + Math.max(0, weight), 0);
  let remaining = draw * total;
  const chosen = route.targets.find(({ weight }) => {
    if (weight <= 0) return false;
    remaining -= weight;
    return remaining < 0;
  });
  return chosen?.service ?? null;
};
