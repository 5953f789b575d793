import type { RouteTable } from '../../forwarding';
import { isScheduled } from '../isScheduled';

/**
 * Tells whether the streams of any service go through a scheduler.
 *
 * @param isUneven - true if servers of the service state how long work takes at present
 */
export const hasScheduledService = (
  table: RouteTable,
  isUneven: (service: string) => boolean,
): boolean =>
  [...table.services.keys()].some((service) =>
    isScheduled(table, service, { isUneven: isUneven(service) }),
  );
