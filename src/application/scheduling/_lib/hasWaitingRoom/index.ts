import type { DemandEntry } from '../buildDemand';

/** Bounds of what waits at one VM: a small VM holds the bodies of waiting requests in memory. */
export const MAX_WAITING_STREAMS = 256;
export const MAX_WAITING_BYTES = 32 * 1024 * 1024;

/** True if this VM can hold one more waiting stream. */
export const hasWaitingRoom = (waiting: readonly DemandEntry[], added: DemandEntry): boolean => {
  const bytes = [...waiting, added].reduce((sum, one) => sum + (one.demand?.heldBytes ?? 0), 0);
  return waiting.length < MAX_WAITING_STREAMS && bytes <= MAX_WAITING_BYTES;
};
