const FIRST_DELAY_MS = 500;
const MAX_DELAY_MS = 30_000;

/**
 * Computes how long to wait before a suspected server is probed.
 *
 * A server that answers probes but keeps failing its streams would otherwise be brought back, given
 * work and lost again each half second; the wait doubles with each suspicion in a row.
 *
 * @param suspicions - Suspicions in a row, from 1, without a longer time of good service between.
 * @returns Delay in milliseconds.
 */
export const computeProbeDelayMs = (suspicions: number): number =>
  Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** Math.max(0, suspicions - 1));
