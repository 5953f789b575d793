import type { CallerError } from '../../types';

/** Why a body is not read on. */
export type BodyExcess = Extract<
  CallerError,
  { readonly kind: 'body-too-fragmented' | 'body-too-large' }
>;

/** Measures a body while it arrives. */
export interface BodyMeter {
  /** Counts a part; returns what is exceeded with it, or null. */
  addPart(part: Buffer): BodyExcess | null;
}

/** Parts that every body may arrive in: a short one may come byte by byte. */
const BASE_BODY_PARTS = 65_536;

/** Bytes of the largest body for which one more part is allowed; packets are larger. */
const BYTES_PER_FURTHER_PART = 512;

/**
 * Creates the meter of a body. Its parts are bounded as well as its bytes: each takes time, however
 * small it is.
 *
 * @param maxBytes - size of the largest body
 */
export const createBodyMeter = (maxBytes: number): BodyMeter => {
  const maxParts = BASE_BODY_PARTS + Math.ceil(maxBytes / BYTES_PER_FURTHER_PART);
  let bytes = 0;
  let parts = 0;
  return {
    addPart: (part) => {
      bytes += part.length;
      parts += 1;
      if (bytes > maxBytes) return { kind: 'body-too-large', maxBytes };
      return parts > maxParts ? { kind: 'body-too-fragmented', maxParts } : null;
    },
  };
};
