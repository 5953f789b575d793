/**
 * Trust left in a cached prefix after each missed cache event. A missed event removed one of many
 * prefixes, or all of them; after some ten the entry is more often wrong than right.
 */
const TRUST_PER_MISSED_EVENT = 0.93;

/** Below this trust a prefix is dropped: it is as likely gone as there. */
export const MIN_PREFIX_TRUST = 0.5;

/** Time after which an entry without any news is half trusted. */
const HALF_TRUST_MS = 120_000;

/**
 * Computes how far a prefix that was reported as cached can still be trusted.
 *
 * @param missedEvents - events of that engine known to be missed since
 * @param ageMs - time since the prefix was last reported, in milliseconds
 * @returns 0 to 1
 */
export function computePrefixTrust(missedEvents: number, ageMs: number): number {
  return TRUST_PER_MISSED_EVENT ** missedEvents * 0.5 ** (ageMs / HALF_TRUST_MS);
}
