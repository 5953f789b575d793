import { createHmac } from 'node:crypto';

/** Signatures are truncated to 128 bits, as RFC 2104 allows, to keep event ids short. */
const SIGNATURE_BYTES = 16;

/**
 * Computes the truncated HMAC-SHA-256 of a cursor's payload.
 *
 * @param payload - Encoded cursor.
 * @param key - Secret shared by the entry VMs of the deployment.
 * @returns Bytes of the signature.
 */
export const computeSignature = (payload: string, key: string): Buffer =>
  createHmac('sha256', key).update(payload).digest().subarray(0, SIGNATURE_BYTES);
