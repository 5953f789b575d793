import type { ServerReport } from '../types';

/** Counts the runs that still read their prompts: those that count as running, but are not listed. */
export const countPrefillingRuns = ({ eventsByRun, running }: ServerReport): number =>
  eventsByRun === null ? 0 : Math.max(0, running - eventsByRun.size);
