import type { Refusal } from '../../types';

/**
 * Builds the refusal of a request that is not forwarded any more because it crashed servers.
 *
 * @param options.quarantineMs - remaining time of the quarantine
 * @param options.hasArrived - true if a server may have begun to run the request
 */
export const buildQuarantineRefusal = ({
  hasArrived,
  quarantineMs,
}: {
  readonly hasArrived: boolean;
  readonly quarantineMs: number;
}): Refusal => ({
  kind: hasArrived ? 'lost' : 'not-run',
  reason: 'the request is in quarantine: it crashed several servers',
  retryAfterMs: hasArrived ? 0 : quarantineMs,
});
