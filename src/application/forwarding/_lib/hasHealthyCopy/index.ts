import type { StreamRun } from '../../types';

/** True if a healthy server holds a copy from which the run can continue. */
export const hasHealthyCopy = ({ copy, dependencies }: StreamRun): boolean =>
  copy !== null && copy.holders.some(dependencies.directory.isHealthy);
