/** Assumed wait per demand while no rate has been measured. */
const UNMEASURED_WAIT_MS = 1000;

/**
 * Estimates how long a demand waits in a queue.
 *
 * @param ahead - number of demands that are served earlier
 * @param intervalMs - measured mean time between two served demands; 0 if unknown
 * @returns milliseconds
 */
export function estimateWaitMs(ahead: number, intervalMs: number): number {
  return (ahead + 1) * (intervalMs > 0 ? intervalMs : UNMEASURED_WAIT_MS);
}
