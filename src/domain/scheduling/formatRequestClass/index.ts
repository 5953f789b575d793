import type { RequestClass } from '../types';

/**
 * Formats a request class for logs and metrics, and as the key of a map.
 *
 * @example
 * formatRequestClass({ priority: 0, routePriority: 2 }); // '0/2'
 */
export const formatRequestClass = ({ priority, routePriority }: RequestClass): string =>
  `${priority}/${routePriority}`;
