import type { SharedOutcome } from '../../../../domain/forwarding';
import { computeNameId } from '../../../../domain/membership';

/** Computes a digest that does not depend on the order of outcomes, nor on their age. */
export const computeOutcomesDigest = (outcomes: readonly SharedOutcome[]): number =>
  outcomes.reduce(
    (digest, { fingerprint, hasCrashed, server }) =>
      // eslint-disable-next-line no-bitwise
      (digest ^ computeNameId(`${fingerprint} ${server} ${hasCrashed}`)) >>> 0,
    0,
  );
