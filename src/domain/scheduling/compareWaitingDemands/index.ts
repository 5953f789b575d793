import { compareRequestClasses } from '../compareRequestClasses';
import type { WaitingDemand } from '../types';

/**
 * Compares two waiting demands: the one that is served first comes first.
 *
 * By class; then streams that lost their server; then those that can still begin within their goal;
 * then by fair share; then callers that were refused before; then by arrival.
 */
export const compareWaitingDemands = (a: WaitingDemand, b: WaitingDemand): number =>
  compareRequestClasses(a.requestClass, b.requestClass) ||
  Number(b.isResumed) - Number(a.isResumed) ||
  Number(a.isLate) - Number(b.isLate) ||
  a.startTag - b.startTag ||
  Number(b.isReturning) - Number(a.isReturning) ||
  a.arrivedAtMs - b.arrivedAtMs;
