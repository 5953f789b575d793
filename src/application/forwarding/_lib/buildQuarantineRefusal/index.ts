import type { CrashCause } from '../../../crashes';
import type { Refusal } from '../../types';

/** Retry time of a caller while a trial of another request is under way. */
const TRIAL_RETRY_MS = 2000;

/** The same if the request is held back only until it is known why servers were lost. */
const HELD_RETRY_MS = 500;

const buildReason = ({ isCertain, kind }: CrashCause): string => {
  if (!isCertain) return 'the request is held back: several servers were lost under it';
  return kind === 'part'
    ? 'a part of the prompt is in quarantine: it crashed several servers'
    : 'the request is in quarantine: it crashed several servers';
};

/**
 * Builds the refusal of a request that is not forwarded because it, or a part of its prompt, crashed
 * servers.
 *
 * @param options.hasArrived - true if a server may have begun to run the request
 */
export const buildQuarantineRefusal = ({
  cause,
  hasArrived,
}: {
  readonly cause: CrashCause;
  readonly hasArrived: boolean;
}): Refusal => ({
  kind: hasArrived ? 'lost' : 'not-run',
  reason: buildReason(cause),
  retryAfterMs: hasArrived
    ? 0
    : Math.max(cause.isCertain ? TRIAL_RETRY_MS : HELD_RETRY_MS, cause.remainingMs),
});
