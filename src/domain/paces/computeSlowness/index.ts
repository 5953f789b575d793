import type { ServerPace } from '../types';

/** Kind of work whose pace is compared. */
export type PacedWork = 'callMs' | 'decodeMsPerToken' | 'prefillMsPerToken';

/**
 * Computes how long work takes on a server now, relative to what is usual for its service.
 *
 * @returns 1 is as usual, 2 twice as long; an unknown pace counts as usual
 */
export const computeSlowness = (own: ServerPace, usual: ServerPace, work: PacedWork): number =>
  own.workFactor * (own[work] > 0 && usual[work] > 0 ? own[work] / usual[work] : 1);
