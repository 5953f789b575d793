import { RouteKind, type RouteTable } from '../../forwarding';

/** What is known of a service besides its configuration. */
export interface IsScheduledOptions {
  /** True if servers of the service state how long work takes at present. */
  readonly isUneven: boolean;
}

/**
 * Tells whether the streams of a service go through its scheduler.
 *
 * They do if the service has engines and either the stream routes that target it differ in priority
 * or its servers are uneven. The priority of a workspace alone changes nothing.
 *
 * @example
 * isScheduled(table, 'chat', { isUneven: false }); // false while all its routes have one priority
 */
export const isScheduled = (
  table: RouteTable,
  service: string,
  { isUneven }: IsScheduledOptions,
): boolean => {
  if (!table.services.get(service)?.engine) return false;
  if (isUneven) return true;
  const priorities = [...table.routesByHost.values()]
    .flat()
    .filter(({ kind }) => kind === RouteKind.Stream)
    .filter(({ targets }) => targets.some((one) => one.service === service && one.weight > 0))
    .map(({ priority }) => priority)
    .filter(Number.isFinite);
  return new Set(priorities).size > 1;
};
