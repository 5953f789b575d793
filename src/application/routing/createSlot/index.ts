import type { SlotOutcome, Slot } from '../../ports';
import type { BackendServer } from '../../../domain/types';

/**
 * Creates a slot that can be released once.
 *
 * Both the normal end and the handling of a failure may release it; counted twice, the server would
 * look emptier than it is.
 */
export function createSlot(
  server: BackendServer,
  priority: number,
  handleRelease: (outcome: SlotOutcome) => void,
): Slot {
  let released = false;
  return {
    server,
    priority,
    release: (outcome) => {
      if (released) return;
      released = true;
      handleRelease(outcome);
    },
  };
}
