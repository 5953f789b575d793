/** Fingerprints of requests are hex digits, so that none begins like this. */
export const PART_PREFIX = 'part-';

/**
 * Formats the fingerprint of all requests with a prompt part.
 *
 * Unlike the fingerprint of a request (`computeFingerprint`), it depends on neither the caller nor
 * the path: a part that crashes servers does so in any request.
 *
 * @param part - id of the part
 *
 * @example
 * formatPartFingerprint('5c1e07a2'); // => 'part-5c1e07a2'
 */
export const formatPartFingerprint = (part: string): string => `${PART_PREFIX}${part}`;
