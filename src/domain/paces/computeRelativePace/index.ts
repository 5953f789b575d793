import type { RelativePace, ServerPace } from '../types';

/** Kind of work whose pace is compared. */
export type PacedWork = 'callMs' | 'decodeMsPerToken' | 'prefillMsPerToken';

/**
 * Computes how long work takes on a server, relative to what is usual for its service.
 *
 * An unknown pace counts as usual.
 */
export const computeRelativePace = (
  own: ServerPace,
  usual: ServerPace,
  work: PacedWork,
): RelativePace => {
  const ratio = own[work] > 0 && usual[work] > 0 ? own[work] / usual[work] : 1;
  return { ratio, workFactor: own.workFactor, slowness: ratio * own.workFactor };
};
