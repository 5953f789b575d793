import { createHash } from 'node:crypto';
import type { ForwardedRequest } from '../types';

/** Length of a fingerprint in hex digits: 64 bits tell the requests of a day apart. */
const FINGERPRINT_DIGITS = 16;

/**
 * Computes what a request has in common with its repetitions by the same caller.
 *
 * @param request - only its target and body count: ids, deadlines and headers differ each time
 * @param workspace - the caller; null where the route needs no key
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
