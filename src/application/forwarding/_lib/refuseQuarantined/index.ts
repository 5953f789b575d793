import type { StreamRun } from '../../types';
import { hasReachedServer } from '../hasReachedServer';
import { refuseForCrashes } from '../refuseForCrashes';

/**
 * Refuses a stream whose request, or one of whose prompt parts, is in quarantine. A stream that may
 * become a trial is not refused, nor one that waits until it is known why its servers were lost.
 *
 * @returns false if the stream was not refused
 */
export const refuseQuarantined = (run: StreamRun): boolean => {
  const cause = run.crashes.findCause();
  if (!cause || run.isTrial || cause.remainingMs === 0) return false;
  if (!cause.isCertain && hasReachedServer(run)) return false;
  refuseForCrashes(run, cause);
  return true;
};
