import type { ServerReport } from '../types';

/**
 * Counts the runs in prefill: a server counts them as running but does not list them yet.
 *
 * @returns 0 if the server lists no runs
 */
export const countPrefillingRuns = ({ eventsByRun, running }: ServerReport): number =>
  eventsByRun === null ? 0 : Math.max(0, running - eventsByRun.size);
