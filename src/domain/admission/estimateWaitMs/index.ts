/** Wait assumed for each demand ahead before a rate has been measured. */
const UNMEASURED_WAIT_MS = 1000;

/**
 * Estimates how long a demand waits in a queue.
 *
 * @param ahead - demands that are served before it
 * @param intervalMs - measured mean time between two demands served from the queue; 0 if unknown
 * @returns milliseconds
 */
export function estimateWaitMs(ahead: number, intervalMs: number): number {
  return (ahead + 1) * (intervalMs > 0 ? intervalMs : UNMEASURED_WAIT_MS);
}
