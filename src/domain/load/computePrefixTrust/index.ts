/**
 * Factor on the trust in a cached prefix for each missed cache event. A missed event may have
 * evicted one of many prefixes or all of them; after about ten, the entry is probably wrong.
 */
const TRUST_PER_MISSED_EVENT = 0.93;

/** Trust below which a prefix is dropped, since it is more likely evicted than cached. */
export const MIN_PREFIX_TRUST = 0.5;

/** Time in which the trust in an entry without updates halves. */
const HALF_TRUST_MS = 120_000;

/**
 * Computes the trust that a prefix reported as cached is still in the cache.
 *
 * @param missedEvents - cache events of the engine that were missed since the report
 * @param ageMs - time since the prefix was last reported, in milliseconds
 * @returns 0 to 1
 */
export function computePrefixTrust(missedEvents: number, ageMs: number): number {
  return TRUST_PER_MISSED_EVENT ** missedEvents * 0.5 ** (ageMs / HALF_TRUST_MS);
}
