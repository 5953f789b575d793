import type { SlotOutcome, Slot } from '../../ports';
import type { BackendServer } from '../../../domain/types';

/**
 * Creates a slot; only its first release counts.
 *
 * Both the normal end and the failure handling may release a slot. If both counted, the server
 * would appear less loaded than it is.
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
