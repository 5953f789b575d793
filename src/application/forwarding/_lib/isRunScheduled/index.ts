import { isScheduled } from '../../../../domain/scheduling';
import type { StreamRun } from '../../types';

/** True if the streams of the run's service go through its scheduler. */
export const isRunScheduled = ({ context, dependencies }: StreamRun): boolean => {
  const { service } = context;
  const table = dependencies.tables.readCurrent();
  if (!table) return false;
  return isScheduled(table, service, { isUneven: dependencies.serverPaces.isUneven(service) });
};
