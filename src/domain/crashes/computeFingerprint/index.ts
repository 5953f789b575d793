import { createHash } from 'node:crypto';
import type { ForwardedRequest } from '../../forwarding';

/** Length of a fingerprint in hex digits: 64 bits make collisions within a day unlikely. */
const FINGERPRINT_DIGITS = 16;

/**
 * Computes the fingerprint of a request, which is equal for all its retries by the same caller.
 *
 * @param request - only target and body are hashed: ids, deadlines and headers change with a retry
 * @param workspace - workspace of the caller; null if the route needs no key
 * @returns lower-case hex digits
 *
 * @example
 * computeFingerprint({ target: '/draft/7', body }, 'w1'); // => '0f3c…'
 */
export const computeFingerprint = (
  { body, target }: Pick<ForwardedRequest, 'body' | 'target'>,
  workspace: string | null,
): string =>
  createHash('sha256')
    .update(JSON.stringify([workspace, target]))
    .update(body)
    .digest('hex')
    .slice(0, FINGERPRINT_DIGITS);
