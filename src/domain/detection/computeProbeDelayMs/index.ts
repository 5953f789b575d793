const FIRST_DELAY_MS = 500;
const MAX_DELAY_MS = 30_000;

/**
 * Computes the delay before a suspected server is probed (exponential backoff).
 *
 * Without it, a server that answers probes but keeps failing its streams would get work again and
 * fail every half second.
 *
 * @param suspicions - consecutive suspicions, from 1, without a longer healthy period in between
 * @returns delay in milliseconds
 */
export const computeProbeDelayMs = (suspicions: number): number =>
  Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** Math.max(0, suspicions - 1));
