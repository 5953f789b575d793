import type { AnswerHead } from '../types';

/** Statuses after which callers repeat a request that must not run twice. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Tells whether a status means to callers that the request did not run, although the server does not
 * state that.
 *
 * @example
 * isRefusalUnstated({ status: 503, isNotExecuted: false }); // => true
 */
export const isRefusalUnstated = ({
  isNotExecuted,
  status,
}: Pick<AnswerHead, 'isNotExecuted' | 'status'>): boolean =>
  !isNotExecuted && REFUSAL_STATUSES.has(status);
