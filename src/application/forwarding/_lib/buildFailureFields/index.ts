import type { AttemptError, EventFields } from '../../../ports';

/** Log fields of an attempt that a server refused: it tells that it does not run the request. */
export const REFUSAL_FIELDS: EventFields = { basis: 'refused' };

/**
 * Builds the log fields of a failed attempt: on what it is known that the request did not run, and
 * whose answer came in place of its own.
 *
 * @example
 * buildFailureFields({ kind: 'not-started', reason: 'x', connection: 'unsent', relay: null }); // => { basis: 'not-sent' }
 */
export const buildFailureFields = ({
  foreign,
  kind,
  relay,
}: Pick<AttemptError, 'foreign' | 'kind' | 'relay'>): EventFields => {
  if (kind === 'not-started') return { basis: relay === null ? 'not-sent' : 'relay' };
  if (!foreign) return {};
  const { answerId, earlierRequests } = foreign;
  return earlierRequests === null ? { answerId } : { answerId, earlierRequests };
};
