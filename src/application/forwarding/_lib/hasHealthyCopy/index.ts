import type { StreamRun } from '../../types';

/** True if a run could go on from a copy now: one of its holders is there, and did not fail lately. */
export const hasHealthyCopy = ({ copy, dependencies }: StreamRun): boolean =>
  copy !== null && copy.holders.some(dependencies.directory.isHealthy);
