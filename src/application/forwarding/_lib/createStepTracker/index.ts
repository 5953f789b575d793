import type { Clock } from '../../../ports';
import type { RequestStep, StepTracker } from '../../types';

/** Creates a tracker of the step that a request is in, from its admission on. */
export const createStepTracker = (clock: Pick<Clock, 'readMonotonicMs'>): StepTracker => {
  let step: RequestStep = 'admission';
  let sinceMs = clock.readMonotonicMs();
  return {
    enterStep: (next) => {
      step = next;
      sinceMs = clock.readMonotonicMs();
    },
    readStep: () => step,
    readStepMs: () => clock.readMonotonicMs() - sinceMs,
  };
};
