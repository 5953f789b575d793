import type { StreamRun } from '../../types';
import { hasReachedServer } from '../hasReachedServer';
import { refuseForCrashes } from '../refuseForCrashes';
import { refuseQuarantined } from '../refuseQuarantined';

/**
 * Refuses a stream that is about to be sent, as `refuseQuarantined`, unless it is granted the trial
 * that is due.
 *
 * @returns `send`; `refused`; or `wait` if it is known only later whether the stream may be sent
 */
export const refuseUnlessTrial = async (run: StreamRun): Promise<'refused' | 'send' | 'wait'> => {
  if (refuseQuarantined(run)) return 'refused';
  const cause = run.crashes.findCause();
  if (!cause || run.isTrial) return 'send';
  run.context.steps.enterStep('trial');
  if (await run.dependencies.crashTrials.acquireTrial(cause)) {
    Object.assign(run, { isTrial: true });
    return 'send';
  }
  if (!cause.isCertain && hasReachedServer(run)) return 'wait';
  if (!run.isEnded()) refuseForCrashes(run, cause);
  return 'refused';
};
