import type { SharedOutcome } from '../../../../domain/crashes';
import { computeNameId } from '../../../../domain/membership';

/** Computes a digest that depends neither on the order nor on the age of the outcomes. */
export const computeOutcomesDigest = (outcomes: readonly SharedOutcome[]): number =>
  outcomes.reduce(
    (digest, { fingerprint, hasCrashed, isConfirmed, requestId, server }) =>
      // eslint-disable-next-line no-bitwise
      (digest ^
        computeNameId(`${fingerprint} ${requestId} ${server} ${hasCrashed} ${isConfirmed}`)) >>>
      0,
    0,
  );
