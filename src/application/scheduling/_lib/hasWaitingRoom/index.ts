import type { DemandEntry } from '../buildDemand';

/** Maximum number of streams that wait at one VM: each holds a connection. */
export const MAX_WAITING_STREAMS = 256;

/** Maximum size of the bodies of streams that wait at one VM: small VMs have little memory. */
export const MAX_WAITING_BYTES = 32 * 1024 * 1024;

/** True if this VM can hold one more waiting stream. */
export const hasWaitingRoom = (waiting: readonly DemandEntry[], added: DemandEntry): boolean => {
  const bytes = [...waiting, added].reduce((sum, { demand }) => sum + (demand?.heldBytes ?? 0), 0);
  return waiting.length < MAX_WAITING_STREAMS && bytes <= MAX_WAITING_BYTES;
};
