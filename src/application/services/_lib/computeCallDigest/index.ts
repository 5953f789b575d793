import { createHash } from 'node:crypto';
import type { ServiceCall } from '../../types';

const computeDigest = (parts: readonly (string | Uint8Array)[]): string => {
  const hash = createHash('sha256');
  // A length before each part keeps two calls apart whose parts join to the same text.
  parts.forEach((part) => hash.update(`${part.length}:`).update(part));
  return hash.digest('hex');
};

/** Computes the digest of a call's key, or of its request id where there is no key. */
export const computeKeyDigest = ({ call, idempotencyKey }: ServiceCall): string =>
  computeDigest([idempotencyKey === '' ? call.requestId : idempotencyKey]);

/** Computes the digest that tells whether a repeat is the same call. */
export const computeCallDigest = ({ call, service }: ServiceCall): string =>
  computeDigest([service.name, call.method, call.path, call.body]);
