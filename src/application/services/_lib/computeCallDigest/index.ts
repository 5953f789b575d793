import { createHash } from 'node:crypto';
import type { ServiceCall } from '../../types';

const computeDigest = (parts: readonly (string | Uint8Array)[]): string => {
  const hash = createHash('sha256');
  // The length prefixes keep calls apart whose parts concatenate to the same text.
  parts.forEach((part) => hash.update(`${part.length}:`).update(part));
  return hash.digest('hex');
};

/** Computes the digest of the idempotency key of a call, or of its request id without a key. */
export const computeKeyDigest = ({ call, idempotencyKey }: ServiceCall): string =>
  computeDigest([idempotencyKey === '' ? call.requestId : idempotencyKey]);

/** Computes the digest by which a repeat is recognised as the same call. */
export const computeCallDigest = ({ call, service }: ServiceCall): string =>
  computeDigest([service.name, call.method, call.path, call.body]);
