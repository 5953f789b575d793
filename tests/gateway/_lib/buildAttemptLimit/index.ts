import { buildWireConfiguration } from '../../../../standins/gateway';

/** Builds the change of a configuration that limits the attempts of a request on each route. */
export const buildAttemptLimit = (maxAttempts: number): object => {
  const { routes } = buildWireConfiguration() as { routes: object[] };
  return { routes: routes.map((route) => ({ ...route, max_attempts: maxAttempts })) };
};
