import type { Route } from '../types';

/**
 * Chooses the service of a request by the weights of the route's targets.
 *
 * @param route - route of the request
 * @param draw - from 0 inclusive to 1 exclusive
 * @returns name of the service, or null if no target takes anything
 */
export const chooseTarget = (route: Route, draw: number): string | null => {
  const total = route.targets.reduce((sum, { weight }) => sum + Math.max(0, weight), 0);
  let rest = draw * total;
  const chosen = route.targets.find(({ weight }) => {
    if (weight <= 0) return false;
    rest -= weight;
    return rest < 0;
  });
  return chosen?.service ?? null;
};
