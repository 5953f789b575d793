import type { RunOutcome } from '../types';

/**
 * Lists the outcomes of a request's prompt parts, for a run that had gone on for long: VMs tell each other
 * only that of the request.
 *
 * @returns an empty list for any other outcome, and for one without parts
 */
export const listPartOutcomes = ({ parts = [], ...outcome }: RunOutcome): readonly RunOutcome[] =>
  outcome.isLate === true
    ? parts.map((part) => ({ ...outcome, fingerprint: part, requestId: outcome.fingerprint }))
    : [];
